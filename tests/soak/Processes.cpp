#include "soak/Processes.h"

#include <csignal>
#include <fcntl.h>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

namespace eelgrassford::soak {

namespace {

    [[noreturn]] void executeProgram(const std::vector<std::string>& command, const std::string& output)
    {
        constexpr int fileMode = 0644;
        constexpr int statusNotStarted = 127;
        const int file = ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, fileMode);
        ::dup2(file, STDOUT_FILENO);
        ::dup2(file, STDERR_FILENO);
        std::vector<char*> arguments;
        for (const auto& argument : command)
            arguments.push_back(const_cast<char*>(argument.c_str()));
        arguments.push_back(nullptr);
        ::execv(arguments.front(), arguments.data());
        ::_exit(statusNotStarted);
    }

}

Processes::~Processes()
{
    for (const auto& [name, child] : m_children) {
        if (child.status)
            continue;
        ::kill(child.pid, SIGKILL);
        ::waitpid(child.pid, nullptr, 0);
    }
}

void Processes::start(const std::string& name, const std::vector<std::string>& command, const std::string& output)
{
    const auto pid = ::fork();
    if (pid < 0)
        throw std::runtime_error("cannot start " + name);
    if (pid == 0)
        executeProgram(command, output);
    m_children[name] = { pid, {} };
}

void Processes::signal(const std::string& name, int number)
{
    if (isRunning(name))
        ::kill(m_children[name].pid, number);
}

bool Processes::isRunning(const std::string& name)
{
    const auto found = m_children.find(name);
    if (found == m_children.end() || found->second.status)
        return false;
    int status = 0;
    if (::waitpid(found->second.pid, &status, WNOHANG) == 0)
        return true;
    found->second.status = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    return false;
}

std::optional<int> Processes::exitStatus(const std::string& name) const
{
    const auto found = m_children.find(name);
    return found == m_children.end() ? std::nullopt : found->second.status;
}

}
