#pragma once

#include "proxy/RouterFixture.h"

namespace eelgrassford::tests {

/// Runners of two software versions in one service.
struct VersionsFixture : RouterFixture {
    /// Whether the listing of the runners is proven to be current all the time.
    bool isListingProven = true;

    explicit VersionsFixture(const std::string& secondVersion = "v2")
        : RouterFixture(options(), secondVersion)
    {
        proveListing();
    }

    /// Begins a stream that breaks off after its second event. Returns the id of the runner that began it.
    std::string beginAndBreak()
    {
        call("POST", "/stream/1");
        auto& runner = awaitRequest(requestCount() + 1);
        const std::string id = runner.has("X-Expect-Instance: r-1") ? "r-1" : "r-2";
        runner.send(streamHead("s-1") + chunk(event(1) + event(2)));
        awaitAnswer("e2\n\n");
        runner.reset();
        return id;
    }

    /// Sends a request that continues a stream, and waits until it is answered or reaches a runner.
    void continueStream(const std::string& headers)
    {
        const auto before = requestCount();
        caller = connect("POST", "/stream/1", "again", headers);
        runUntil(context, [&] { return requestCount() > before || caller->has("HTTP/1.1 "); });
    }

    void proveListingOnce() { router.confirmConfiguration(daemon::currentTime() + clockOffset); }

private:
    void proveListing()
    {
        if (isListingProven)
            proveListingOnce();
        m_proofTimer.expires_after(std::chrono::milliseconds(5));
        m_proofTimer.async_wait([this](const asio::error_code& cancelled) {
            if (!cancelled)
                proveListing();
        });
    }

    asio::steady_timer m_proofTimer { context };
};

/// Other daemons that answer when the test lets them.
struct OtherDaemons : proxy::OriginDirectory {
    std::vector<dispatch::StreamOrigin> published;
    /// The copies asked for at the last call.
    dispatch::OriginCopies copies = dispatch::OriginCopies::Few;
    std::vector<std::pair<dispatch::StreamKey, Finder>> questions;

    void publish(std::vector<dispatch::StreamOrigin> origins, dispatch::OriginCopies wanted) override
    {
        published.insert(published.end(), origins.begin(), origins.end());
        copies = wanted;
    }
    void find(dispatch::StreamKey stream, Finder finder) override { questions.emplace_back(stream, std::move(finder)); }
};

struct FleetFixture : VersionsFixture {
    OtherDaemons others;

    explicit FleetFixture(const std::string& secondVersion = "v2")
        : VersionsFixture(secondVersion)
    {
        router.setOriginDirectory(&others);
    }

    /// Sends a request that continues a stream of another daemon, and waits for the question.
    void continueForeign(const std::string& headers = {})
    {
        caller = connect("POST", "/stream/1", "again", "Last-Event-Id: 2\r\nResumes: first\r\n" + headers);
        runUntil(context, [&] { return !others.questions.empty(); });
    }
    std::uint64_t software(const std::string& version)
    {
        auto entry = runnerEntry("r", 1);
        entry.version = version;
        return runners::softwareOf(entry);
    }
};

}
