#pragma once

#include <map>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace eelgrassford::soak {

/// @brief The processes that the soak started. Only these are ever signalled.
class Processes {
public:
    ~Processes();

    /// @brief Starts a process; its output is appended to a file.
    void start(const std::string& name, const std::vector<std::string>& command, const std::string& output);
    void signal(const std::string& name, int number);
    /// @brief Whether it runs; one that ended leaves its status for exitStatus().
    bool isRunning(const std::string& name);
    /// @brief Exit status of a process that ended by itself, or the negative number of the signal that ended it.
    std::optional<int> exitStatus(const std::string& name) const;

private:
    struct Child {
        pid_t pid = 0;
        std::optional<int> status;
    };

    std::map<std::string, Child> m_children;
};

}
