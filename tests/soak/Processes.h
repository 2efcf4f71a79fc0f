#pragma once

#include <map>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace eelgrassford::soak {

/// @brief Child processes of the soak; signals go only to these.
class Processes {
public:
    ~Processes();

    /// @brief Starts a process; its output is appended to a file.
    void start(const std::string& name, const std::vector<std::string>& command, const std::string& output);
    void signal(const std::string& name, int number);
    /// @brief Whether the process is running; reaps one that has ended and keeps its status for exitStatus().
    bool isRunning(const std::string& name);
    /// @brief Exit status of an ended process, or the negative number of the signal that ended it.
    std::optional<int> exitStatus(const std::string& name) const;

private:
    struct Child {
        pid_t pid = 0;
        std::optional<int> status;
    };

    std::map<std::string, Child> m_children;
};

}
