#include "program/Commands.h"
#include "program/OperatorClient.h"
#include "program/ReplyPrinter.h"
#include "program/TablePrinter.h"
#include "store/TableCodec.h"

#include <array>
#include <chrono>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

namespace banyanlock
{
namespace
{

using Json = nlohmann::json;

constexpr int firstErrorStatus = 400;
// Added to the request's timeout, so that the entry's own timeout answer can still arrive.
constexpr long answerMarginMilliseconds = 2000;
constexpr auto jobPollInterval = std::chrono::milliseconds(200);

ExitCode sendRequest(const CommandContext &context)
{
    cxxopts::Options options = context.makeOptions("SERVICE BODY-FILE");
    addClientOptions(options);
    options.add_options()("workspace", "Workspace that the request belongs to", cxxopts::value<std::string>());
    options.add_options()("idempotent", "Allow the request to run more than once");
    options.add_options()("key", "Idempotency key; repeats of the request carry the same key", cxxopts::value<std::string>());
    options.add_options()("timeout-ms", "Time limit for the answer in milliseconds", cxxopts::value<long>()->default_value("10000"));
    options.add_options()("content-type", "Content type of the body", cxxopts::value<std::string>()->default_value("application/json"));
    const ParsedArguments parsed = context.parse(options, 2);
    if (parsed.done) {
        return parsed.exitCode;
    }
    std::string body;
    if (parsed.result.count("workspace") == 0) {
        std::cerr << "banyanlock request: --workspace is missing\n";
        return ExitCode::BadUsage;
    }
    if (!readFile(parsed.operands[1], body)) {
        return ExitCode::BadUsage;
    }
    const long timeout = parsed.result["timeout-ms"].as<long>();
    std::vector<HttpHeader> headers{{"Banyanlock-Workspace", parsed.result["workspace"].as<std::string>()},
                                    {"Banyanlock-Idempotent", parsed.result.count("idempotent") > 0 ? "true" : "false"},
                                    {"Banyanlock-Timeout-Ms", std::to_string(timeout)},
                                    {"Content-Type", parsed.result["content-type"].as<std::string>()}};
    if (parsed.result.count("key") > 0) {
        headers.push_back({"Idempotency-Key", parsed.result["key"].as<std::string>()});
    }
    const std::string path = "/v1/services/" + escapeQuery(parsed.operands[0]) + "/requests";
    const OperatorClient client(entryAddresses(parsed));
    const HttpReply reply = client.call("POST", path, headers, body, timeout + answerMarginMilliseconds);
    if (reply.delivery != HttpDelivery::Complete || reply.contentType == "application/problem+json") {
        return OperatorClient::reportFailure(reply, wantsJson(parsed));
    }
    if (wantsJson(parsed)) {
        const Json json = {{"status", reply.status}, {"content_type", reply.contentType}, {"body", reply.body}};
        std::cout << json.dump(-1, ' ', false, Json::error_handler_t::replace) << "\n";
    } else {
        std::cout << reply.body;
    }
    return reply.status < firstErrorStatus ? ExitCode::Done : ExitCode::Failed;
}

void printJobs(const Json &jobs)
{
    TablePrinter table({"id", "workspace", "name", "state", "cell", "run", "tasks", "accelerators", "reason"});
    for (const Json &job : jobs) {
        const Json &spec = job["spec"];
        table.addRow({job["id"], spec["workspace"], spec["name"], job["state"], job["cell"], job["run"].dump(), spec["tasks"].dump(),
                      spec["accelerators"].dump(), job["reason"]});
    }
    std::cout << table.toString();
}

bool hasEnded(const Json &job)
{
    return job["state"] != "queued" && job["state"] != "running";
}

/// Polls a job until it ends.
ExitCode waitForEnd(const OperatorClient &client, const std::string &id, bool asJson)
{
    while (true) {
        const HttpReply reply = client.call("GET", "/v1/jobs/" + id);
        if (!OperatorClient::succeeded(reply)) {
            return OperatorClient::reportFailure(reply, asJson);
        }
        const Json job = Json::parse(reply.body);
        if (hasEnded(job)) {
            asJson ? (void)(std::cout << reply.body) : printJobs(Json::array({job}));
            return job["state"] == "succeeded" ? ExitCode::Done : ExitCode::Failed;
        }
        std::this_thread::sleep_for(jobPollInterval);
    }
}

ExitCode submitJob(const CommandContext &context)
{
    cxxopts::Options options = context.makeOptions("FILE");
    addClientOptions(options);
    options.add_options()("wait", "Wait until the job has ended");
    const ParsedArguments parsed = context.parse(options, 1);
    if (parsed.done) {
        return parsed.exitCode;
    }
    std::string text;
    if (!readFile(parsed.operands[0], text)) {
        return ExitCode::BadUsage;
    }
    const OperatorClient client(entryAddresses(parsed));
    const HttpReply reply = client.call("POST", "/v1/jobs", {{"Content-Type", "application/json"}}, text);
    if (!OperatorClient::succeeded(reply)) {
        return OperatorClient::reportFailure(reply, wantsJson(parsed));
    }
    const std::string id = Json::parse(reply.body)["id"];
    if (parsed.result.count("wait") > 0) {
        return waitForEnd(client, id, wantsJson(parsed));
    }
    std::cout << (wantsJson(parsed) ? reply.body : id + "\n");
    return ExitCode::Done;
}

/// Runs a command on one job and prints the job.
ExitCode runOnJob(const CommandContext &context, const std::string &method)
{
    cxxopts::Options options = context.makeOptions("JOB");
    addClientOptions(options);
    const ParsedArguments parsed = context.parse(options, 1);
    if (parsed.done) {
        return parsed.exitCode;
    }
    const HttpReply reply = OperatorClient(entryAddresses(parsed)).call(method, "/v1/jobs/" + escapeQuery(parsed.operands[0]));
    return finishCall(parsed, reply, [](const Json &job) {
        printJobs(Json::array({job}));
    });
}

ExitCode showJob(const CommandContext &context)
{
    return runOnJob(context, "GET");
}

ExitCode cancelJob(const CommandContext &context)
{
    return runOnJob(context, "DELETE");
}

ExitCode listJobs(const CommandContext &context)
{
    cxxopts::Options options = context.makeOptions("");
    addClientOptions(options);
    options.add_options()("workspace", "Only jobs of this workspace", cxxopts::value<std::string>()->default_value(""));
    options.add_options()("state", "Only jobs in this state", cxxopts::value<std::string>()->default_value(""));
    const ParsedArguments parsed = context.parse(options, 0);
    if (parsed.done) {
        return parsed.exitCode;
    }
    const std::string query = "?workspace=" + escapeQuery(parsed.result["workspace"].as<std::string>())
        + "&state=" + escapeQuery(parsed.result["state"].as<std::string>());
    const HttpReply reply = OperatorClient(entryAddresses(parsed)).call("GET", "/v1/jobs" + query);
    return finishCall(parsed, reply, [](const Json &json) {
        printJobs(json["jobs"]);
    });
}

} // namespace

std::span<const Command> workCommands()
{
    static constexpr std::array commands{
        Command{"request", "Send a request to a service and print the answer", sendRequest},
        Command{"job submit", "Submit a job from a JSON file", submitJob},
        Command{"job show", "Show a job", showJob},
        Command{"job list", "List jobs", listJobs},
        Command{"job cancel", "Cancel a job", cancelJob},
    };
    return commands;
}

} // namespace banyanlock
