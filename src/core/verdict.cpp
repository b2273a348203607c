#include "core/verdict.h"

#include "core/enum_names.h"

#include <array>

namespace dotterel {

namespace {

constexpr std::array<EnumName<Verdict>, 3> VerdictNames = {{
        {Verdict::NotRun, "not_run"},
        {Verdict::MayHaveRun, "may_have_run"},
        {Verdict::Ran, "ran"},
}};

} // namespace

const std::vector<ReasonInfo> &reasonTable()
{
    static const std::vector<ReasonInfo> table = {
            {Reason::MalformedRequest, "malformed_request", 400, false},
            {Reason::BodyTooLarge, "body_too_large", 413, false},
            {Reason::UnknownWorkspace, "unknown_workspace", 403, false},
            {Reason::UnknownRequestClass, "unknown_request_class", 400, false},
            {Reason::UnknownPool, "unknown_pool", 404, false},
            {Reason::MissingIdempotencyKey, "missing_idempotency_key", 400, false},
            {Reason::KeyReusedWithOtherBody, "key_reused_with_other_body", 422, false},
            {Reason::OrderInProgress, "order_in_progress", 409, true},
            {Reason::OrderOutcomeUnknown, "order_outcome_unknown", 409, false},
            {Reason::NoConfiguration, "no_configuration", 503, true},
            {Reason::NoBackendServer, "no_backend_server", 503, true},
            {Reason::DeadlineUnreachable, "deadline_unreachable", 503, true},
            {Reason::DeadlineExceeded, "deadline_exceeded", 504, true},
            {Reason::WorkspaceOverShare, "workspace_over_share", 429, true},
            {Reason::PromptTooLong, "prompt_too_long", 413, false},
            {Reason::MemoryUnavailable, "memory_unavailable", 503, true},
            {Reason::PlatformUnavailable, "platform_unavailable", 503, true},
            {Reason::BackendConnectFailed, "backend_connect_failed", 502, true},
            {Reason::BackendRefused, "backend_refused", 503, true},
            {Reason::BackendFailed, "backend_failed", 502, true},
            {Reason::AnswerCut, "answer_cut", 502, true},
            {Reason::CrashesBackendServers, "crashes_backend_servers", 422, false},
            {Reason::ShuttingDown, "shutting_down", 503, true},
            {Reason::CallerGone, "caller_gone", 499, false},
            {Reason::TooManyRequests, "too_many_requests", 429, true},
            {Reason::RetryBudgetExhausted, "retry_budget_exhausted", 503, true},
            {Reason::CallerTooSlow, "caller_too_slow", 408, false},
            {Reason::UnknownRoute, "unknown_route", 404, false},
            {Reason::UnknownKey, "unknown_key", 401, false},
            {Reason::ServersLimited, "servers_limited", 503, true},
            {Reason::ServiceOutOfReach, "service_out_of_reach", 503, true},
    };
    return table;
}

const ReasonInfo &reasonInfo(Reason reason)
{
    return reasonTable().at(static_cast<std::size_t>(reason));
}

std::string_view verdictName(Verdict verdict)
{
    return enumName(VerdictNames, verdict);
}

std::optional<Verdict> verdictFromName(std::string_view name)
{
    return enumValue(VerdictNames, name);
}

std::optional<Reason> reasonFromName(std::string_view name)
{
    for (const ReasonInfo &info : reasonTable()) {
        if (info.name == name)
            return info.reason;
    }
    return std::nullopt;
}

} // namespace dotterel
