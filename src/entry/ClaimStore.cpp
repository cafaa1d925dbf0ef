#include "entry/ClaimStore.h"

#include "core/JsonInput.h"
#include "core/Log.h"

#include <optional>
#include <utility>

namespace banyanlock
{
namespace
{

using Json = nlohmann::json;

constexpr const char *claimTable = "claims";
constexpr std::size_t maxStoredAnswerBytes = 65536;

std::string rowKey(const KeyClaim &claim)
{
    return claim.workspace + "/" + claim.service + "/" + claim.key;
}

Json claimedRow(const KeyClaim &claim)
{
    return {{"holder", claim.holder}, {"body_hash", claim.bodyHash}};
}

std::string answeredRow(const KeyClaim &claim, const CallerAnswer &answer)
{
    Json row = claimedRow(claim);
    row["status"] = answer.status;
    row["content_type"] = answer.contentType;
    // Bodies are arbitrary bytes, which JSON strings can't hold, so they are stored as an array of numbers.
    const std::string &body = *answer.body;
    row["body"] = Json(std::vector<std::uint8_t>(body.begin(), body.end()));
    return row.dump();
}

ClaimResult readAnswer(const Json &row)
{
    constexpr int maxStatus = 999;
    ClaimResult result;
    result.state = ClaimState::Answered;
    result.answer.status = readWhole<int>(row.at("status"), "status", 0, maxStatus);
    result.answer.contentType = row.value("content_type", "");
    std::string body;
    if (const auto bytes = row.find("body"); bytes != row.end()) {
        for (const Json &byte : *bytes) {
            body += static_cast<char>(readWhole<std::uint8_t>(byte, "body"));
        }
    }
    result.answer.body = std::make_shared<const std::string>(std::move(body));
    return result;
}

ClaimResult parseClaimRow(const std::string &text, const KeyClaim &claim, bool mayBeOwnClaim)
{
    try {
        const Json row = parseJson(text);
        if (mayBeOwnClaim && row.at("holder").get<std::string>() == claim.holder) {
            return {ClaimState::Acquired, {}};
        }
        if (readWhole<std::uint64_t>(row.at("body_hash"), "body_hash") != claim.bodyHash) {
            return {ClaimState::BodyMismatch, {}};
        }
        return row.contains("status") ? readAnswer(row) : ClaimResult{ClaimState::Held, {}};
    } catch (const Json::exception &error) {
        Log::warning("claim_row_unreadable", {{"reason", std::string(error.what())}});
        return {ClaimState::Held, {}};
    }
}

} // namespace

void ClaimStore::claim(const KeyClaim &claim, std::function<void(ClaimResult)> callback)
{
    TableTransaction transaction;
    transaction.changeId = claim.holder + "/claim";
    transaction.checks.push_back({claimTable, rowKey(claim), 0});
    transaction.writes.push_back({claimTable, rowKey(claim), claimedRow(claim).dump()});
    m_table.commit(transaction, [this, claim, callback = std::move(callback)](const CommitResult &result) mutable {
        switch (result.state) {
        case CommitState::Committed:
            callback({ClaimState::Acquired, {}});
            break;
        case CommitState::NotSent:
        case CommitState::Rejected:
            callback({ClaimState::StoreUnavailable, {}});
            break;
        case CommitState::Conflict:
            readExisting(claim, false, std::move(callback));
            break;
        case CommitState::Unknown:
            readExisting(claim, true, std::move(callback));
            break;
        }
    });
}

void ClaimStore::readExisting(const KeyClaim &claim, bool mayBeOwnClaim, std::function<void(ClaimResult)> callback)
{
    m_table.read(claimTable, rowKey(claim), [this, claim, mayBeOwnClaim, callback = std::move(callback)](const RowResult &result) {
        if (!result.available || !result.row) {
            callback({ClaimState::StoreUnavailable, {}});
            return;
        }
        if (mayBeOwnClaim) {
            m_counters.add(Counter::StoreUnknownSettled);
        }
        callback(parseClaimRow(result.row->value, claim, mayBeOwnClaim));
    });
}

void ClaimStore::settle(const KeyClaim &claim, const CallerAnswer &answer)
{
    if (answer.body && answer.body->size() <= maxStoredAnswerBytes) {
        replaceRow(claim, answeredRow(claim, answer), "/settle");
    }
}

void ClaimStore::release(const KeyClaim &claim)
{
    replaceRow(claim, std::nullopt, "/release");
}

void ClaimStore::replaceRow(const KeyClaim &claim, std::optional<std::string> value, const char *changeIdSuffix)
{
    m_table.read(claimTable, rowKey(claim), [this, claim, value = std::move(value), changeIdSuffix](const RowResult &result) {
        const bool holdsClaim = result.row && parseClaimRow(result.row->value, claim, true).state == ClaimState::Acquired;
        if (!holdsClaim) {
            return;
        }
        TableTransaction transaction;
        transaction.changeId = claim.holder + changeIdSuffix;
        transaction.checks.push_back({claimTable, rowKey(claim), result.row->version});
        transaction.writes.push_back({claimTable, rowKey(claim), value});
        m_table.commit(transaction, [key = rowKey(claim)](const CommitResult &commit) {
            if (commit.state != CommitState::Committed) {
                Log::warning("claim_not_rewritten", {{"key", key}});
            }
        });
    });
}

} // namespace banyanlock
