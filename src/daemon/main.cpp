#include "daemon/ControlThread.h"
#include "daemon/Settings.h"
#include "daemon/TrafficThread.h"
#include "edge/Relay.h"
#include "platform/HeaderCodec.h"
#include "platform/StoreDocumentCodec.h"
#include "platform/StoreProtocol.h"
#include "telemetry/DecisionLog.h"
#include <CLI/CLI.hpp>
#include <asio.hpp>
#include <iostream>
#include <thread>

using namespace eelgrassford;
using namespace eelgrassford::daemon;

namespace {

constexpr int startFailureExitCode = 3;
/// Time for the last responses to be written after the last request ended.
constexpr auto responseFlushDelay = std::chrono::milliseconds(500);

/// Serves until SIGTERM or SIGINT, then stops gracefully.
class Daemon {
public:
    explicit Daemon(const Settings& settings)
        : m_settings(settings)
        , m_controlThread(settings, m_metrics)
        , m_workGuard(m_signalContext.get_executor())
        , m_signals(m_signalContext, SIGTERM, SIGINT)
        , m_stopTimer(m_signalContext)
    {
        constexpr Ticket ticketsPerThread = Ticket { 1 } << 48;
        for (std::uint32_t i = 0; i < settings.trafficThreads; ++i)
            m_trafficThreads.push_back(
                std::make_unique<TrafficThread>(settings, m_controlThread, m_metrics, 1 + i * ticketsPerThread));
    }

    void run()
    {
        std::vector<std::thread> threads;
        threads.emplace_back([this] { m_controlThread.run(); });
        for (auto& traffic : m_trafficThreads)
            threads.emplace_back([&traffic] { traffic->run(); });
        m_signals.async_wait([this](const asio::error_code& error, int signal) {
            if (!error)
                beginStop(signal);
        });
        m_signalContext.run();
        for (auto& thread : threads)
            thread.join();
    }

private:
    void beginStop(int signal)
    {
        telemetry::logInfo("signal", { { "number", signal } });
        for (auto& traffic : m_trafficThreads)
            traffic->closeAfterResponses();
        // Connections are still accepted during the drain delay, while the load balancer stops sending new ones.
        m_stopTimer.expires_after(m_settings.drainDelay);
        m_stopTimer.async_wait([this](const asio::error_code&) {
            for (auto& traffic : m_trafficThreads)
                traffic->stopAccepting();
            m_controlThread.beginStop([this] { asio::post(m_signalContext, [this] { finishStop(); }); });
        });
        m_controlThread.becomeUnready();
    }

    void finishStop()
    {
        m_stopTimer.expires_after(responseFlushDelay);
        m_stopTimer.async_wait([this](const asio::error_code&) {
            for (auto& traffic : m_trafficThreads)
                traffic->stop();
            m_controlThread.stop();
            telemetry::logInfo("stop", {});
            m_workGuard.reset();
        });
    }

    const Settings& m_settings;
    telemetry::Metrics m_metrics;
    ControlThread m_controlThread;
    std::vector<std::unique_ptr<TrafficThread>> m_trafficThreads;
    asio::io_context m_signalContext;
    asio::executor_work_guard<asio::io_context::executor_type> m_workGuard;
    asio::signal_set m_signals;
    asio::steady_timer m_stopTimer;
};

/// Runs a relay on the users' platform: `eelgrassfordd relay --settings FILE`.
int runRelayCommand(int argumentCount, char** arguments)
{
    CLI::App app("Relays requests between callers and runners", "eelgrassfordd relay");
    std::string settingsPath;
    std::string logLevel = "info";
    app.add_option("--settings", settingsPath, "Settings file (TOML); see docs/CONFIGURATION.md")
        ->envname("EELGRASSFORD_CONFIG")
        ->required();
    app.add_option("--log-level", logLevel, "Lowest level that is logged")
        ->envname("EELGRASSFORD_LOG_LEVEL")
        ->check(CLI::IsMember({ "debug", "info", "warn", "error" }))
        ->capture_default_str();
    CLI11_PARSE(app, argumentCount, arguments);
    const platform::StoreProtocol store;
    const platform::StoreDocumentCodec documents;
    const platform::HeaderCodec headers;
    return edge::runRelay(settingsPath, logLevel, { store, documents, headers });
}

}

int main(int argumentCount, char** arguments)
{
    if (argumentCount > 1 && std::string_view(arguments[1]) == "relay")
        return runRelayCommand(argumentCount - 1, arguments + 1);
    int exitCode = 0;
    const auto settings = readSettings(argumentCount, arguments, exitCode);
    if (!settings)
        return exitCode;
    telemetry::startLogging(settings->logLevel);
    try {
        Daemon daemon(*settings);
        telemetry::logInfo("start",
            { { "host", settings->host },
                { "listen", settings->listen.ip + ":" + std::to_string(settings->listen.port) } });
        daemon.run();
    } catch (const std::exception& error) {
        telemetry::logError("start-failure", { { "detail", error.what() } });
        std::cerr << "eelgrassfordd: " << error.what() << "\n";
        return startFailureExitCode;
    }
    return 0;
}
