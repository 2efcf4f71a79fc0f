#include "edge/Relay.h"

#include "edge/ControlLoop.h"
#include "edge/HostLimits.h"
#include "edge/TrafficLoop.h"
#include "telemetry/DecisionLog.h"
#include <iostream>
#include <thread>

namespace eelgrassford::edge {

namespace {

    constexpr int settingsErrorExitCode = 2;
    constexpr int startFailureExitCode = 3;

}

int runRelay(const std::string& settingsPath, const std::string& logLevel, const PlatformAdapter& adapter)
{
    const auto settings = readRelaySettings(settingsPath);
    if (!settings) {
        std::cerr << "eelgrassfordd: " << settings.error().message() << "\n";
        return settingsErrorExitCode;
    }
    limitRetainedMemory();
    telemetry::startBoundedLogging(logLevel);
    try {
        telemetry::Metrics metrics;
        TrafficLoop traffic(*settings, adapter.headers, metrics);
        ControlLoop control(*settings, settingsPath, adapter.store, adapter.documents, traffic, metrics);
        telemetry::logInfo("start",
            { { "host", settings->host }, { "data_centre", settings->dataCentre },
                { "listen", settings->callerAddress.ip + ":" + std::to_string(settings->callerAddress.port) } });
        std::thread trafficThread([&traffic] { traffic.run(); });
        control.run();
        traffic.stop();
        trafficThread.join();
        telemetry::logInfo("stop", {});
        telemetry::flushLog();
    } catch (const std::exception& error) {
        telemetry::logError("start-failure", { { "detail", error.what() } });
        std::cerr << "eelgrassfordd: " << error.what() << "\n";
        return startFailureExitCode;
    }
    return 0;
}

}
