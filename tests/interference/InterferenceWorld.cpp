#include "InterferenceWorld.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace banyanlock
{
namespace
{

constexpr std::uint32_t accelerators = 8;
constexpr double tick = 0.1;
constexpr std::array<std::uint32_t, InterferenceWorld::kinds> demands{1, 1, 2, 1, 2, 4};

double logarithmic(Random &random, double low, double high)
{
    return low * std::pow(high / low, random.unit());
}

} // namespace

InterferenceWorld::InterferenceWorld(const WorldTerms &terms, std::uint64_t seed)
    : m_terms(terms)
    , m_random(seed)
    , m_workers(workers)
    , m_free(workers, accelerators)
{
    for (std::uint32_t kind = 0; kind < kinds; ++kind) {
        m_numbers.push_back(model.kindOf(kindAt(kind)));
    }
}

TaskKind InterferenceWorld::kindAt(std::uint32_t index) const
{
    return {"queue-" + std::to_string(index), {1000, 1000, demands.at(index)}, false};
}

TimePoint InterferenceWorld::now() const
{
    return TimePoint(Duration(std::llround(virtualSeconds * 1e6)));
}

void InterferenceWorld::run(std::uint32_t runs)
{
    m_ended = 0;
    m_slowdowns = 0.0;
    while (m_ended < runs) {
        addSteps();
        placeWaiting();
        advance();
    }
}

void InterferenceWorld::addSteps()
{
    while (m_asked < m_terms.load * workers * accelerators) {
        const std::uint32_t kind = m_random.below(kinds);
        const std::uint32_t tasks = 1 + m_random.below(30);
        const double seconds = logarithmic(m_random, 2.0, 10.0);
        const double forecast = seconds * logarithmic(m_random, 1 / m_terms.forecastError, m_terms.forecastError);
        const std::uint64_t step = m_nextStep++;
        for (std::uint32_t task = 0; task < tasks; ++task) {
            m_waiting.push_back({kind, step, seconds, forecast});
            m_asked += demands.at(kind);
        }
    }
}

void InterferenceWorld::placeWaiting()
{
    std::deque<Waiting> left;
    for (const Waiting &task : m_waiting) {
        if (!place(task)) {
            left.push_back(task);
        }
    }
    m_waiting.swap(left);
    const std::uint32_t most = *std::ranges::max_element(m_free);
    m_leftUnplaced |= std::ranges::any_of(m_waiting, [&](const Waiting &task) {
        return demands.at(task.kind) <= most;
    });
}

bool InterferenceWorld::runsOn(std::uint32_t worker, std::uint32_t kind) const
{
    return std::ranges::any_of(m_workers[worker], [kind](const Running &run) {
        return run.task.kind == kind;
    });
}

bool InterferenceWorld::place(const Waiting &task)
{
    std::vector<std::uint32_t> best;
    double least = 0.0;
    for (std::uint32_t worker = 0; worker < workers; ++worker) {
        if (m_free[worker] < demands.at(task.kind)) {
            continue;
        }
        double penalty = m_terms.followPenalty ? model.penaltyOf(m_numbers[task.kind], m_log.kindsOn(worker)) : 0.0;
        penalty += m_terms.companions && task.kind == 4 && !runsOn(worker, 2) ? 1.0 : 0.0;
        if (best.empty() || penalty < least) {
            best.clear();
            least = penalty;
        }
        if (penalty <= least) {
            best.push_back(worker);
        }
    }
    if (best.empty()) {
        return false;
    }
    start(task, best[m_random.below(static_cast<std::uint32_t>(best.size()))]);
    return true;
}

void InterferenceWorld::start(const Waiting &task, std::uint32_t worker)
{
    // A sum of uniform numbers as an approximation of the normal distribution, with a deviation of a tenth.
    double noise = -6.0;
    for (int part = 0; part < 12; ++part) {
        noise += m_random.unit();
    }
    double work = task.seconds * std::exp(0.1 * noise);
    work *= m_random.chance(m_terms.straggler) ? 7.0 : 1.0;
    work *= worker % 3 == 0 ? m_terms.slowWorker : 1.0;
    const bool remote = m_terms.remoteByWorker ? worker >= workers * (1.0 - m_terms.remote) : m_random.chance(m_terms.remote);
    work *= remote ? 3.0 : 1.0;
    work *= m_random.chance(m_terms.paced) ? 2.0 : 1.0;
    work *= m_random.chance(m_terms.resumed) ? 0.2 + 0.7 * m_random.unit() : 1.0;
    m_free[worker] -= demands.at(task.kind);
    m_workers[worker].push_back({task, m_nextRun, virtualSeconds, work, work});
    m_log.start(worker, m_nextRun++, m_numbers[task.kind], now(), Duration(std::llround(task.forecast * 1e6)));
}

double InterferenceWorld::speedOf(const std::vector<Running> &runs, const Running &run) const
{
    double speed = 1.0;
    for (const TruePair &pair : m_terms.pairs) {
        if (pair.kind != run.task.kind) {
            continue;
        }
        const auto count = std::ranges::count_if(runs, [&](const Running &other) {
            return other.number != run.number && other.task.kind == pair.neighbour;
        });
        speed /= std::pow(pair.slowdown, m_terms.perNeighbour ? count : std::min<long>(count, 1));
    }
    return speed;
}

void InterferenceWorld::advance()
{
    virtualSeconds += tick;
    for (std::uint32_t worker = 0; worker < workers; ++worker) {
        std::vector<double> speeds;
        for (const Running &run : m_workers[worker]) {
            speeds.push_back(speedOf(m_workers[worker], run));
        }
        std::vector<Running> left;
        for (std::size_t index = 0; index < speeds.size(); ++index) {
            Running &run = m_workers[worker][index];
            run.left -= tick * speeds[index];
            if (run.left > 0.0) {
                left.push_back(run);
            } else {
                finish(worker, run);
            }
        }
        m_workers[worker].swap(left);
    }
}

void InterferenceWorld::finish(std::uint32_t worker, const Running &run)
{
    const double actual = virtualSeconds - run.start;
    m_free[worker] += demands.at(run.task.kind);
    m_asked -= demands.at(run.task.kind);
    ++m_ended;
    m_slowdowns += std::max(actual / run.work, 1.0);
    if (const auto beside = m_log.end(worker, run.number, now())) {
        model.addRun(m_numbers[run.task.kind], run.task.step, worker, std::log(actual / run.task.forecast), *beside);
    }
}

void InterferenceWorld::changeOwner()
{
    model = InterferenceModel::decode(model.encode());
    m_log = {};
    for (std::uint32_t kind = 0; kind < kinds; ++kind) {
        m_numbers[kind] = model.kindOf(kindAt(kind));
    }
    for (std::uint32_t worker = 0; worker < workers; ++worker) {
        for (const Running &run : m_workers[worker]) {
            m_log.start(worker, run.number, m_numbers[run.task.kind], now(), Duration::zero());
        }
    }
}

std::vector<TruePair> InterferenceWorld::found() const
{
    std::vector<TruePair> pairs;
    for (std::uint32_t kind = 0; kind < kinds; ++kind) {
        for (std::uint32_t neighbour = 0; neighbour < kinds; ++neighbour) {
            if (model.isHarmful(m_numbers[kind], m_numbers[neighbour])) {
                pairs.push_back({kind, neighbour, model.slowdownOf(m_numbers[kind], m_numbers[neighbour])});
            }
        }
    }
    return pairs;
}

} // namespace banyanlock
