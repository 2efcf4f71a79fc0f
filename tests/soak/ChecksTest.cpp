#include "soak/Checks.h"

#include <doctest/doctest.h>

using namespace eelgrassford;
using soak::Execution;
using soak::findViolations;
using soak::Observations;
using soak::Record;
using soak::RequestKind;

namespace {

const TimePoint begin = TimePoint {} + std::chrono::hours(1);

Record makeRecord(RequestKind kind, std::uint16_t status)
{
    Record result;
    result.id = "c1-1";
    result.kind = kind;
    result.key = "key-1";
    result.sentAt = begin;
    result.status = status;
    return result;
}

Execution makeExecution(const char* runner) { return { "c1-1", runner, begin }; }

}

TEST_CASE("the soak accepts requests that were executed no more often than their kind allows")
{
    Observations observations;
    observations.records = { makeRecord(RequestKind::Lookup, 200) };
    observations.executions = { makeExecution("runner-1"), makeExecution("runner-2") };
    CHECK(findViolations(observations).empty());
    observations.records = { makeRecord(RequestKind::Booking, 503) };
    observations.executions.clear();
    CHECK(findViolations(observations).empty());
    observations.records = { makeRecord(RequestKind::Booking, 502) };
    observations.executions = { makeExecution("runner-1") };
    CHECK(findViolations(observations).empty());
}

TEST_CASE("the soak reports a booking that was executed twice")
{
    Observations observations;
    observations.records = { makeRecord(RequestKind::Booking, 200) };
    observations.executions = { makeExecution("runner-1"), makeExecution("runner-2") };
    CHECK(findViolations(observations).size() == 1);
}

TEST_CASE("the soak reports a refusal of a request that was executed and a success without an execution")
{
    Observations observations;
    observations.records = { makeRecord(RequestKind::Lookup, 503) };
    observations.executions = { makeExecution("runner-1") };
    CHECK(findViolations(observations).size() == 1);
    observations.records = { makeRecord(RequestKind::Lookup, 200) };
    observations.executions.clear();
    CHECK(findViolations(observations).size() == 1);
}

TEST_CASE("the soak reports a response whose content is incomplete or belongs to another request")
{
    Observations observations;
    observations.records = { makeRecord(RequestKind::Stream, 200) };
    observations.records.front().responseError = "incomplete or wrong body: 7 bytes";
    observations.executions = { makeExecution("runner-1") };
    CHECK(findViolations(observations).size() == 1);
}

TEST_CASE("the soak reports an execution with a key revoked more than the allowed delay before")
{
    Observations observations;
    observations.records = { makeRecord(RequestKind::Lookup, 200) };
    observations.executions = { makeExecution("runner-1") };
    observations.revocations = { { "key-1", begin - std::chrono::seconds(4) } };
    CHECK(findViolations(observations).empty());
    observations.revocations = { { "key-1", begin - std::chrono::seconds(6) } };
    CHECK(findViolations(observations).size() == 1);
}

TEST_CASE("the soak reports requests closed, denied or failed during planned operations")
{
    Observations observations;
    observations.isPlannedOnly = true;
    observations.records = { makeRecord(RequestKind::Lookup, 401), makeRecord(RequestKind::Lookup, 502),
        makeRecord(RequestKind::Lookup, 0) };
    observations.records[0].id = "c1-2";
    observations.records[1].id = "c1-3";
    observations.records[2].isClosedWithoutResponse = true;
    observations.executions = { makeExecution("runner-1") };
    CHECK(findViolations(observations).size() == 3);
    observations.isPlannedOnly = false;
    CHECK(findViolations(observations).empty());
}

TEST_CASE("the soak reports requests that reach a data centre 5 s after its evacuation was acknowledged")
{
    Observations observations;
    observations.records = { makeRecord(RequestKind::Lookup, 200) };
    observations.executions = { makeExecution("runner-1") };
    const auto evacuated = [&](const char* runner, Duration before, Duration length) {
        observations.evacuations = { { { runner }, begin - before, begin - before + length } };
        return findViolations(observations).size();
    };
    using std::chrono::seconds;
    CHECK(evacuated("runner-1", seconds(6), seconds(10)) == 1);
    CHECK(evacuated("runner-2", seconds(6), seconds(10)) == 0);
    CHECK(evacuated("runner-1", seconds(5), seconds(10)) == 0);
    CHECK(evacuated("runner-1", seconds(6), seconds(6)) == 0);
    observations.evacuations.front().endsAt.reset();
    CHECK(findViolations(observations).size() == 1);
}
