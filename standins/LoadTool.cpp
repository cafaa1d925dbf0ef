#include "Standins.h"
#include "runtime/HttpClient.h"

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <fstream>
#include <iostream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

namespace banyanlock
{
namespace
{

using Clock = std::chrono::steady_clock;

/// Results of all callers.
struct LoadResult {
    std::vector<double> milliseconds;
    int answered = 0;
    int notRun = 0;
    int unknown = 0;
    int wrongAnswers = 0;
    int notSent = 0;
    int lost = 0;
    std::vector<std::string> lines; // outcome and body of each request
};

std::string makeBody(const LoadOptions &options, int number)
{
    std::string body = options.bodyPrefix + "-" + std::to_string(number) + "-";
    body.resize(std::max<std::size_t>(body.size(), static_cast<std::size_t>(options.bodyBytes)), 'x');
    return body;
}

HttpRequest makeRequest(const LoadOptions &options, int number)
{
    HttpRequest request;
    request.method = "POST";
    request.url = "http://" + options.targets[static_cast<std::size_t>(number) % options.targets.size()] + options.path;
    request.headers = {{"Banyanlock-Workspace", options.workspace},
                       {"Banyanlock-Idempotent", options.idempotent ? "true" : "false"},
                       {"Banyanlock-Timeout-Ms", std::to_string(options.timeoutMilliseconds)},
                       {"Content-Type", "text/plain"}};
    request.body = makeBody(options, number);
    request.timeoutMilliseconds = options.timeoutMilliseconds + 2000;
    request.ownConnection = !options.idempotent;
    request.mayResend = options.idempotent;
    return request;
}

const char *count(LoadResult &result, const HttpReply &reply, const std::string &body)
{
    if (reply.delivery == HttpDelivery::NotSent) {
        ++result.notSent;
        return "not_run";
    }
    if (reply.delivery != HttpDelivery::Complete) {
        ++result.lost;
        return "lost";
    }
    if (reply.contentType == "application/problem+json") {
        const bool notRun = reply.body.find("\"not_run\"") != std::string::npos;
        ++(notRun ? result.notRun : result.unknown);
        return notRun ? "not_run" : "unknown";
    }
    const bool own = reply.body == "answer to " + body;
    ++(own ? result.answered : result.wrongAnswers);
    return own ? "answered" : "wrong";
}

/// Keeps a number of requests under way until all have been sent.
class LoadRun
{
public:
    explicit LoadRun(const LoadOptions &options)
        : m_options(options)
        , m_client(options.callers)
    {
    }

    LoadResult run()
    {
        std::unique_lock lock(m_mutex);
        for (int caller = 0; caller < m_options.callers; ++caller) {
            sendNext();
        }
        m_done.wait(lock, [this] {
            return m_finished == m_options.requests;
        });
        return m_result;
    }

private:
    void sendNext()
    {
        if (m_sent == m_options.requests) {
            return;
        }
        const int number = m_sent++;
        const Clock::time_point start = Clock::now();
        m_client.send(makeRequest(m_options, number), [this, number, start](const HttpReply &reply) {
            const std::lock_guard lock(m_mutex);
            m_result.milliseconds.push_back(std::chrono::duration<double, std::milli>(Clock::now() - start).count());
            const std::string body = makeBody(m_options, number);
            m_result.lines.push_back(std::string(count(m_result, reply, body)) + " " + body);
            ++m_finished;
            sendNext();
            m_done.notify_one();
        });
    }

    const LoadOptions &m_options;
    HttpClient m_client;
    std::mutex m_mutex;
    std::condition_variable m_done;
    LoadResult m_result;
    int m_sent = 0;
    int m_finished = 0;
};

double percentile(const std::vector<double> &sorted, double share)
{
    return sorted.empty() ? 0 : sorted[std::min(sorted.size() - 1, static_cast<std::size_t>(share * static_cast<double>(sorted.size())))];
}

} // namespace

int runLoad(const LoadOptions &options)
{
    const Clock::time_point start = Clock::now();
    LoadResult result = LoadRun(options).run();
    const double seconds = std::chrono::duration<double>(Clock::now() - start).count();
    std::ranges::sort(result.milliseconds);
    if (!options.outcomesPath.empty()) {
        std::ofstream file(options.outcomesPath);
        for (const std::string &line : result.lines) {
            file << line << "\n";
        }
    }
    const nlohmann::ordered_json json = {{"requests", options.requests},
                                         {"callers", options.callers},
                                         {"answered", result.answered},
                                         {"not_run", result.notRun},
                                         {"unknown", result.unknown},
                                         {"not_sent", result.notSent},
                                         {"lost", result.lost},
                                         {"wrong_answers", result.wrongAnswers},
                                         {"per_second", options.requests / seconds},
                                         {"p50_ms", percentile(result.milliseconds, 0.5)},
                                         {"p99_ms", percentile(result.milliseconds, 0.99)},
                                         {"p999_ms", percentile(result.milliseconds, 0.999)}};
    std::cout << json.dump() << "\n";
    return result.wrongAnswers == 0 && result.lost == 0 ? 0 : 1;
}

} // namespace banyanlock
