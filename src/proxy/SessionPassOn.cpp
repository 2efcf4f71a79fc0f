#include "proxy/Session.h"

namespace eelgrassford::proxy {

namespace {

    /// Other daemons that one request is passed on to, one after the other.
    constexpr int maxDaemonsTried = 4;

}

bool Session::mayPassOn() const
{
    // A daemon that gets a request from another one does not pass it on again.
    return !m_hasResponseStarted && m_daemonsTried < maxDaemonsTried && !m_router.isDaemon(m_admitted.request.remoteIp);
}

bool Session::tryPassOn()
{
    if (!mayPassOn())
        return false;
    const auto now = m_router.now();
    const auto ip = m_router.chooseDaemon(m_excludedRunners, now);
    if (ip.empty())
        return false;
    ++m_daemonsTried;
    m_excludedRunners.push_back(ip);
    beginAttempt(ip, now);
    m_lastVersion.clear();
    m_attempt->isPassedOn = true;
    startExchange(m_router.poolOfDaemon(ip),
        encode(m_router.m_codec.encodePassedOn(m_admitted.request.headers, m_admitted.deadline - now)));
    return true;
}

}
