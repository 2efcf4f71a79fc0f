#include "soak/Soak.h"

#include <csignal>
#include <ostream>

namespace eelgrassford::soak {

using daemon::currentTime;

namespace {

    constexpr std::chrono::seconds waitLimit { 60 };
    /// Time within which a published key reaches every daemon that is connected to the store.
    constexpr std::chrono::milliseconds keyPropagationTime { 4000 };
    constexpr std::chrono::milliseconds slowLinkDelay { 60 };
    /// Shortest evacuation; the daemons have 5 s to notice it.
    constexpr std::chrono::milliseconds evacuationTime { 6000 };

}

Soak::Soak(const Options& options, std::ostream& output)
    : m_options(options)
    , m_output(output)
    , m_installation(m_context, options.installation)
{
}

bool Soak::run()
{
    const auto schedule = generateSchedule(m_options.seed, m_options.length);
    m_observations.isPlannedOnly
        = std::all_of(schedule.begin(), schedule.end(), [](const Step& step) { return isPlanned(step.action); });
    m_installation.startAll();
    waitFor([this] { return m_installation.publish(m_keys); });
    for (std::size_t i = 0; i < m_options.installation.runnerCount; ++i)
        waitFor([this, i] { return m_installation.listRunner(i, "ready"); });
    for (std::size_t i = 0; i < m_options.installation.daemonCount; ++i) {
        if (!waitFor([this, i] { return m_installation.isReady(i); }))
            report(Installation::daemonName(i) + " did not become ready");
    }
    startCallers();
    for (const auto& step : schedule)
        scheduleAfter(step.at, [this, step] { perform(step); });
    runFor(m_options.length);
    recover();
    stopAll();
    m_observations.executions = readExecutions(m_installation.runLog());
    for (const auto& line : findViolations(m_observations))
        report(line);
    printSummary(schedule.size());
    return m_violations.empty();
}

void Soak::printSummary(std::size_t steps)
{
    std::map<std::uint16_t, std::size_t> byStatus;
    for (const auto& record : m_observations.records)
        ++byStatus[record.status];
    m_output << "seed=" << m_options.seed << " steps=" << steps << " planned_only=" << m_observations.isPlannedOnly
             << " requests=" << m_observations.records.size() << " runs=" << m_observations.executions.size();
    for (const auto& [status, count] : byStatus)
        m_output << (status == 0 ? " no_answer" : " status_" + std::to_string(status)) << '=' << count;
    const auto count = [&](auto&& isCounted) {
        return std::count_if(m_observations.records.begin(), m_observations.records.end(), isCounted);
    };
    m_output << " streams="
             << count([](const Record& record) { return record.kind == RequestKind::Stream && !record.isContinuation; })
             << " begun=" << count([](const Record& record) { return record.hasEvents && !record.isContinuation; })
             << " continuations=" << count([](const Record& record) { return record.isContinuation; })
             << " went_on=" << count([](const Record& record) { return record.isContinuation && record.hasEvents; });
    m_output << " broken=" << m_violations.size() << std::endl;
}

bool Soak::waitFor(const std::function<bool()>& isDone)
{
    const auto until = std::chrono::steady_clock::now() + waitLimit;
    while (std::chrono::steady_clock::now() < until) {
        if (isDone())
            return true;
        runFor(Milliseconds(50));
    }
    return false;
}

void Soak::runFor(Milliseconds time)
{
    m_context.restart();
    m_context.run_for(time);
}

void Soak::startCallers()
{
    for (std::size_t i = 0; i < m_options.callerCount; ++i) {
        Caller::Options options;
        options.name = "c" + std::to_string(i);
        options.daemons = m_installation.callerEndpoints();
        // The last caller keeps using revoked keys.
        const bool usesRevokedKeys = i + 1 == m_options.callerCount;
        m_callers.push_back(std::make_shared<Caller>(
            m_context, options, m_options.seed * 1000 + i,
            [this, usesRevokedKeys] { return usesRevokedKeys && !m_revokedKey.empty() ? m_revokedKey : m_currentKey; },
            [this](Record record) {
                // Revoked keys are expected to be denied.
                if (record.key != m_revokedKey || !m_observations.isPlannedOnly || record.status < 400)
                    m_observations.records.push_back(std::move(record));
            }));
        m_callers.back()->start();
    }
}

void Soak::scheduleAfter(Milliseconds delay, std::function<void()> action)
{
    const auto timer = std::make_shared<asio::steady_timer>(m_context, delay);
    timer->async_wait([this, timer, action = std::move(action)](const asio::error_code& error) {
        if (!error && !m_isRecovering)
            action();
    });
}

void Soak::perform(const Step& step)
{
    const auto daemon = step.target % m_options.installation.daemonCount;
    const auto runner = step.target % m_options.installation.runnerCount;
    const auto name = isPlanned(step.action) || step.action <= Action::FreezeDaemon ? Installation::daemonName(daemon)
                                                                                    : Installation::runnerName(runner);
    m_output << "at_ms=" << step.at.count() << " action=" << nameOf(step.action) << " target=" << step.target % 1000
             << " for_ms=" << step.duration.count() << '\n';
    auto& processes = m_installation.processes();
    const auto setRunnerFault = [&](const char* fault) {
        m_installation.setRunnerFault(runner, fault);
        scheduleAfter(step.duration, [this, runner] { m_installation.setRunnerFault(runner, "none"); });
    };
    const auto setStoreFault = [&](const char* fault) {
        m_installation.setStoreFault(fault);
        scheduleAfter(step.duration, [this] { m_installation.setStoreFault("none"); });
    };
    const auto freeze = [&](const std::string& process) {
        processes.signal(process, SIGSTOP);
        scheduleAfter(step.duration, [this, process] { m_installation.processes().signal(process, SIGCONT); });
    };
    switch (step.action) {
    case Action::StopDaemon:
        stopDaemon(daemon);
        return;
    case Action::ReloadDaemon:
        processes.signal(name, SIGHUP);
        return;
    case Action::PublishRevision:
        m_installation.publish(m_keys);
        return;
    case Action::ReplaceKey:
        replaceKey();
        return;
    case Action::DrainRunner:
        m_installation.listRunner(runner, "draining");
        scheduleAfter(step.duration, [this, runner] { m_installation.listRunner(runner, "ready"); });
        return;
    case Action::KillDaemon:
        processes.signal(name, SIGKILL);
        restartWhenEnded(daemon);
        return;
    case Action::FreezeDaemon:
        freeze(name);
        return;
    case Action::KillRunner:
        processes.signal(name, SIGKILL);
        scheduleAfter(step.duration, [this, runner] {
            if (!m_installation.processes().isRunning(Installation::runnerName(runner)))
                m_installation.startRunner(runner);
        });
        return;
    case Action::FreezeRunner:
        freeze(name);
        return;
    case Action::CutRunnerAnswers:
        setRunnerFault("cut");
        return;
    case Action::FillRunner:
        setRunnerFault("full");
        return;
    case Action::StoreDown:
        setStoreFault("down");
        return;
    case Action::StoreBusy:
        setStoreFault("busy");
        return;
    case Action::FreezeStore:
        freeze("store");
        return;
    case Action::CutStoreLink:
        setLinkStateFor(m_installation.storeLink(daemon), { true, true, true, {} }, step.duration);
        return;
    case Action::SlowStoreLink:
        setLinkStateFor(m_installation.storeLink(daemon), { false, false, false, slowLinkDelay }, step.duration);
        return;
    case Action::ResetCallerLink:
        m_installation.callerLink(daemon).reset();
        return;
    case Action::SlowCallerLink:
        setLinkStateFor(m_installation.callerLink(daemon), { false, false, false, slowLinkDelay }, step.duration);
        return;
    case Action::ResetRunnerLink:
        m_installation.runnerLink(runner).reset();
        return;
    case Action::SlowRunnerLink:
        setLinkStateFor(m_installation.runnerLink(runner), { false, false, false, slowLinkDelay }, step.duration);
        return;
    case Action::SilenceToRunner:
        setLinkStateFor(m_installation.runnerLink(runner), { true, false, false, {} }, step.duration);
        return;
    case Action::SilenceFromRunner:
        setLinkStateFor(m_installation.runnerLink(runner), { false, true, false, {} }, step.duration);
        return;
    case Action::LimitRunner:
        setRunnerFault("limited");
        return;
    case Action::LeaveRunner:
        m_installation.setRunnerFault(runner, "leaving");
        scheduleAfter(step.duration, [this, runner] { m_installation.renewRunner(runner); });
        return;
    case Action::PauseRunner:
        setRunnerFault("paused");
        return;
    case Action::EvacuateDataCentre:
        evacuate(daemon, step.duration);
        return;
    case Action::RestoreStore:
        m_installation.saveStore();
        scheduleAfter(step.duration, [this] { m_installation.restoreStore(m_keys); });
        return;
    }
}

void Soak::setLinkStateFor(LoopbackProxy& link, const LinkState& state, Milliseconds duration)
{
    link.setState(state);
    scheduleAfter(duration, [&link] { link.setState({}); });
}

void Soak::stopDaemon(std::size_t daemon)
{
    m_installation.processes().signal(Installation::daemonName(daemon), SIGTERM);
    restartWhenEnded(daemon);
}

void Soak::restartWhenEnded(std::size_t daemon)
{
    scheduleAfter(Milliseconds(100), [this, daemon] {
        if (m_installation.processes().isRunning(Installation::daemonName(daemon)))
            restartWhenEnded(daemon);
        else
            m_installation.startDaemon(daemon);
    });
}

void Soak::evacuate(std::size_t dataCentre, Milliseconds duration)
{
    if (m_evacuations.contains(dataCentre))
        return;
    if (!m_installation.setEvacuated(dataCentre, true)) {
        // A store that is frozen takes the key later.
        m_installation.setEvacuated(dataCentre, false);
        return;
    }
    m_evacuations[dataCentre] = m_observations.evacuations.size();
    m_observations.evacuations.push_back({ m_installation.runnersIn(dataCentre), currentTime(), {} });
    scheduleAfter(evacuationTime + duration, [this, dataCentre] {
        m_observations.evacuations[m_evacuations.extract(dataCentre).mapped()].endsAt = currentTime();
        m_installation.setEvacuated(dataCentre, false);
    });
}

void Soak::replaceKey()
{
    const auto added = "key-" + std::to_string(m_keys.size() + m_observations.revocations.size() + 1);
    const auto removed = m_keys.front();
    if (m_keys.size() > 1)
        return;
    m_keys.push_back(added);
    m_installation.publish(m_keys);
    scheduleAfter(keyPropagationTime, [this, added, removed] {
        m_currentKey = added;
        // The old key stays valid for requests that are still in flight.
        scheduleAfter(keyPropagationTime, [this, removed] {
            std::erase(m_keys, removed);
            if (!m_installation.publish(m_keys))
                return;
            m_revokedKey = removed;
            m_observations.revocations.push_back({ removed, currentTime() });
        });
    });
}

void Soak::recover()
{
    m_isRecovering = true;
    for (const auto& [dataCentre, index] : std::exchange(m_evacuations, {}))
        m_observations.evacuations[index].endsAt = currentTime();
    m_installation.heal();
    waitFor([this] { return m_installation.publish(m_keys); });
    for (std::size_t i = 0; i < m_options.installation.daemonCount; ++i) {
        if (!waitFor([this, i] { return isReadyAgain(i); }))
            report(Installation::daemonName(i) + " is not ready again after all faults ended");
    }
    // Wait until each daemon serves each kind of request again.
    const auto recoveredAt = currentTime();
    const bool areServed = waitFor([this, recoveredAt] {
        std::set<std::pair<std::size_t, RequestKind>> served;
        for (const auto& record : m_observations.records) {
            if (record.sentAt > recoveredAt && record.status == 200)
                served.emplace(record.daemon, record.kind);
        }
        return served.size() == m_options.installation.daemonCount * 3;
    });
    if (!areServed)
        report("some daemon does not serve every kind of request after all faults ended");
}

bool Soak::isReadyAgain(std::size_t daemon)
{
    auto& processes = m_installation.processes();
    const auto name = Installation::daemonName(daemon);
    if (processes.isRunning(name))
        return m_installation.isReady(daemon);
    // A daemon that received SIGTERM may have ended only now.
    const auto status = processes.exitStatus(name).value_or(0);
    if (status != 0 && status != -SIGKILL)
        report(name + " ended unexpectedly with status " + std::to_string(status));
    m_installation.startDaemon(daemon);
    return false;
}

void Soak::stopAll()
{
    for (const auto& caller : m_callers)
        caller->stop();
    waitFor([this] {
        return std::all_of(m_callers.begin(), m_callers.end(), [](const auto& caller) { return caller->isIdle(); });
    });
    auto& processes = m_installation.processes();
    for (std::size_t i = 0; i < m_options.installation.daemonCount; ++i) {
        const auto name = Installation::daemonName(i);
        processes.signal(name, SIGTERM);
        waitFor([&] { return !processes.isRunning(name); });
        if (processes.exitStatus(name).value_or(-1) != 0)
            report(name + " did not exit with status 0");
    }
}

void Soak::report(const std::string& line)
{
    m_violations.push_back(line);
    m_output << "BROKEN " << line << '\n';
}

}
