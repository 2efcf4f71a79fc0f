#include "dispatch/RetryBudget.h"

namespace eelgrassford::dispatch {

RetryBudget::RetryBudget(const Options& options)
    : m_options(options)
    , m_tokens(options.capacity)
{
}

RetryBudget::RetryBudget()
    : RetryBudget(Options {})
{
}

void RetryBudget::recordSuccess() { m_tokens = std::min(m_options.capacity, m_tokens + m_options.ratio); }

bool RetryBudget::tryTake()
{
    if (m_tokens < 1.0)
        return false;
    m_tokens -= 1.0;
    return true;
}

}
