#pragma once

#include <cstdint>
#include <string>
#include <utility>

namespace eelgrassford::dispatch {

/// @brief Why a request was refused before it was sent.
enum class Refusal {
    NoUpstream,
    Overloaded,
    RateLimited,
    DeadlineUnreachable,
    Quarantined,
    Stopping,
    ClaimFailed,
    CannotConnect,
};

/// @brief Nothing of the request left for an upstream and nothing will.
///
/// Only an UnsentRequest can make one, so no answer "not run" exists for a request that may have been sent.
class NotRun {
public:
    Refusal refusal() const { return m_refusal; }

private:
    friend class UnsentRequest;
    explicit NotRun(Refusal refusal)
        : m_refusal(refusal)
    {
    }

    Refusal m_refusal;
};

/// @brief The request may have run; nothing may send it again blindly.
struct UnknownOutcome {
    std::string detail;
};

/// @brief Proof by the transport that a connection was never established.
///
/// Made by the adapter that owns the connection, from its library's report.
struct ConnectionNeverOpened { };

class SentRequest;

/// @brief A request of which no byte has left.
class UnsentRequest {
public:
    UnsentRequest() = default;
    UnsentRequest(UnsentRequest&&) = default;
    UnsentRequest& operator=(UnsentRequest&&) = default;
    UnsentRequest(const UnsentRequest&) = delete;
    UnsentRequest& operator=(const UnsentRequest&) = delete;

    /// @brief Consumes the request: from here on its outcome cannot be "not run".
    SentRequest send() &&;
    /// @brief Consumes the request with a true refusal.
    NotRun refuse(Refusal refusal) && { return NotRun(refusal); }
};

/// @brief A request of which a byte may have left.
class SentRequest {
public:
    SentRequest(SentRequest&&) = default;
    SentRequest& operator=(SentRequest&&) = default;
    SentRequest(const SentRequest&) = delete;
    SentRequest& operator=(const SentRequest&) = delete;

    /// @brief The transport shows that nothing was written.
    UnsentRequest revertToUnsent(ConnectionNeverOpened) && { return {}; }
    UnknownOutcome makeUnknown(std::string detail) && { return { std::move(detail) }; }

private:
    friend class UnsentRequest;
    SentRequest() = default;
};

inline SentRequest UnsentRequest::send() && { return {}; }

}
