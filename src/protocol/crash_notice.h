#pragma once

#include "core/identity.h"
#include "core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dotterel {

/// What is suspected of crashing backend servers.
enum class CrashSubject : std::uint8_t {
    Request,    ///< A request that callers send again and again.
    PromptPart, ///< A part of prompts that differ otherwise.
};

/// Returns the external name of \a subject.
std::string_view crashSubjectName(CrashSubject subject);

/// A crash of a backend server while it ran a suspect.
struct CrashRecord
{
    ServerId server;
    Duration age = Duration::zero(); ///< Time since the crash, by the sender's clock.
    std::size_t weight = 1;          ///< How much the crash says against the suspect.
};

/// Sent between entry hosts about a suspect of crashing backend servers.
struct CrashNotice
{
    CrashSubject subject = CrashSubject::Request;
    std::string fingerprint; ///< See CrashGuard::fingerprint() and PromptPartGuard::keys().
    std::vector<CrashRecord> crashes;
    std::optional<Duration> sinceCompletion; ///< Time since it ran to completion, if it did.
    ServerId runningServer;                  ///< Server that runs it now; empty if none.
};

} // namespace dotterel
