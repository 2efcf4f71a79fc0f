#pragma once

#include <utility>

namespace eelgrassford {

/// @brief Calls a function at the end of a scope, also when an exception leaves it.
template <typename Function> class ScopeExit {
public:
    explicit ScopeExit(Function function)
        : m_function(std::move(function))
    {
    }
    ~ScopeExit() { m_function(); }
    ScopeExit(const ScopeExit&) = delete;
    ScopeExit& operator=(const ScopeExit&) = delete;

private:
    Function m_function;
};

}
