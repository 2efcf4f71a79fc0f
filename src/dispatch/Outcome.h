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

/// @brief Proof that nothing of the request has been sent to an upstream and nothing will be.
///
/// Only an UnsentRequest can create one, so a request that may have been sent is never answered as "not run".
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

/// @brief The request may have run, so it must not be sent again unless it is idempotent.
struct UnknownOutcome {
    /// Explanation for the caller.
    std::string detail;
};

/// @brief Proof by the transport that a connection was never established.
///
/// Created by the adapter that owns the connection, from the error that its library reports.
struct ConnectionNeverOpened { };

class SentRequest;

/// @brief A request of which no byte has been sent.
class UnsentRequest {
public:
    UnsentRequest() = default;
    UnsentRequest(UnsentRequest&&) = default;
    UnsentRequest& operator=(UnsentRequest&&) = default;
    UnsentRequest(const UnsentRequest&) = delete;
    UnsentRequest& operator=(const UnsentRequest&) = delete;

    /// @brief Consumes the request; from now on its outcome cannot be "not run".
    SentRequest send() &&;
    /// @brief Consumes the request and proves that it will not run.
    NotRun refuse(Refusal refusal) && { return NotRun(refusal); }
};

/// @brief A request of which bytes may have been sent.
class SentRequest {
public:
    SentRequest(SentRequest&&) = default;
    SentRequest& operator=(SentRequest&&) = default;
    SentRequest(const SentRequest&) = delete;
    SentRequest& operator=(const SentRequest&) = delete;

    /// @brief Consumes the request, of which nothing was written according to the transport.
    UnsentRequest revertToUnsent(ConnectionNeverOpened) && { return {}; }
    /// @brief Consumes the request, whose outcome is unknown.
    /// @param detail explanation for the caller
    UnknownOutcome makeUnknown(std::string detail) && { return { std::move(detail) }; }

private:
    friend class UnsentRequest;
    SentRequest() = default;
};

inline SentRequest UnsentRequest::send() && { return {}; }

}
