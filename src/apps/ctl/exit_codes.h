#pragma once

namespace lentilhead::apps::ctl {

/// Exit codes of the command line; 0 is success.
inline constexpr int kExitFailed = 1;    ///< The request failed; it may be retried later.
inline constexpr int kExitBadUsage = 2;  ///< Invalid command line or unreadable file.
inline constexpr int kExitRefused = 4;   ///< The request is invalid, or names something unknown.
inline constexpr int kExitConflict = 5;  ///< Another change came first.
inline constexpr int kExitAuthentication = 6;   ///< The key is missing, unknown or not permitted.
inline constexpr int kExitUnknownOutcome = 7;   ///< The request may or may not have taken effect.
inline constexpr int kExitJobNotCompleted = 8;  ///< The job ended with failed items or cancelled.

}  // namespace lentilhead::apps::ctl
