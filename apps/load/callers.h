#pragma once

#include <utility>

#include "attempt.h"

#include "oleanderhall/register/register.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <mutex>
#include <random>
#include <string>
#include <vector>

namespace load {

/// The entry hosts and the mix of requests of a Callers run.
struct CallerSettings
{
    std::vector<std::string> entries; ///< IP:PORT of the entry hosts' listeners for callers.
    double ratePerSecond = 100;
    int seconds = 10;
    int unrepeatablePercent = 30;
    int duplicatePercent = 5; ///< Share of unrepeatable operations sent twice at once.
    int workMs = 5;
    int timeoutMs = 2000;
    int maxAttempts = 3;
    std::uint32_t seed = 1;
};

/// Callers generate an open load: operations start at a steady rate, independent of the outcome of
/// earlier ones. Each attempt goes to a random entry host that reports readiness, or to any entry
/// host when none does. An attempt without an upstream's response is retried with the same
/// idempotency key after a random delay of 200 to 499 ms.
class Callers
{
public:
    Callers(CallerSettings settings, const oleanderhall::Register &config);

    /// Runs until the last operation has ended and returns all attempts. Blocks.
    std::vector<Attempt> run();

private:
    struct EntryHost
    {
        std::string name;
        boost::asio::ip::tcp::endpoint address;
        std::atomic<bool> isReady{true};
    };
    struct Operation
    {
        std::string id;
        std::string service;
        std::string method = "GET";
        std::string path;
        bool isUnrepeatable = false;
    };

    boost::asio::awaitable<void> generate();
    boost::asio::awaitable<void> watchReadiness(EntryHost &entry);
    boost::asio::awaitable<void> perform(Operation operation, int firstNumber);
    boost::asio::awaitable<Attempt> sendAttempt(const Operation &operation, int number,
                                                EntryHost &entry);
    Operation nextOperation();
    EntryHost &pickEntryHost();
    void record(const Attempt &attempt);

    CallerSettings m_settings;
    const oleanderhall::Register &m_config;
    boost::asio::io_context m_io;
    std::vector<std::unique_ptr<EntryHost>> m_entries;
    std::vector<const oleanderhall::ServiceRule *> m_services;
    std::mt19937 m_random;
    std::uint64_t m_lastOperation = 0;
    std::string m_runName;
    int m_openOperations = 0;
    bool m_isDone = false;
    std::vector<Attempt> m_attempts;
};

} // namespace load
