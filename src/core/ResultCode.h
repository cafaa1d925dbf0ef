#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace banyanlock
{

/// What is known about the execution of a request after it has ended.
enum class Outcome : std::uint8_t {
    Answered, ///< The complete answer was received.
    NotRun, ///< The request is proved not to have run, and never will.
    Unknown, ///< The request may have run.
};

/// @param outcome Outcome to look up.
/// @return Name used in the interfaces: `answered`, `not_run` or `unknown`.
std::string_view outcomeName(Outcome outcome);

/// Numbered results of every interface. Numbers are stable and never reused.
enum class ResultCode : std::uint16_t {
    Ok = 0,
    MalformedRequest = 1001,
    UnknownRoute = 1002,
    BodyTooLarge = 1003,
    UnknownWorkspace = 1004,
    UnknownService = 1005,
    InvalidContract = 1006,
    VersionConflict = 1007,
    UnknownJob = 1008,
    InvalidJob = 1009,
    JobNeverFits = 1010,
    UnknownFailureDomain = 1011,
    InvalidSettings = 1012,
    BadUsage = 1013,
    InvalidTimeout = 1014,
    GuaranteesDoNotFit = 1015,
    JobAlreadyEnded = 1016,
    RateLimited = 2001,
    InFlightLimited = 2002,
    QueueFull = 2003,
    DeadlineUnreachable = 2004,
    NoBackendServer = 2005,
    Draining = 2006,
    StoreUnavailable = 2007,
    ConfigurationNotReady = 2008,
    AcceleratorLimit = 2009,
    FailureDomainOut = 2010,
    AgentFull = 2101,
    AgentDraining = 2102,
    AttemptExpired = 2103,
    AttemptRevoked = 2104,
    BackendUnreachable = 2105,
    AttemptNotSent = 2106,
    WrongIncarnation = 3001,
    AttemptLost = 3002,
    DeadlineExceeded = 3003,
    BackendAnswerTruncated = 3004,
    BackendTimeout = 3005,
    IdempotencyKeyInUse = 3006,
    StoreOutcomeUnknown = 3007,
    DuplicateAttempt = 3008,
    EntryUnreachable = 4001,
};

/// One row of the table of result codes.
struct ResultCodeInfo {
    ResultCode code; ///< The code.
    std::string_view name; ///< Stable name, in snake case.
    Outcome outcome; ///< Outcome of the request that the code implies.
    int httpStatus; ///< HTTP status that is sent with the code.
    std::string_view meaning; ///< Human-readable description, one sentence.
};

/// @return All rows, ordered by number.
std::span<const ResultCodeInfo> resultCodeTable();

/// @param code Code to look up.
/// @return Row of the code.
const ResultCodeInfo &infoOf(ResultCode code);

/// @param number Number as received from another process.
/// @return The code, or `AttemptLost` for a number that this build doesn't know.
ResultCode resultCodeFromNumber(std::uint16_t number);

} // namespace banyanlock
