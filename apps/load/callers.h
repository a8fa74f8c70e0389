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

/// What a run of Callers sends.
struct CallerSettings
{
    std::vector<std::string> entries; ///< IP:PORT of the callers' sides.
    double ratePerSecond = 100;
    int seconds = 10;
    int unrepeatablePercent = 30;
    int duplicatePercent = 5; ///< Unrepeatable operations sent to two entry hosts at once.
    int workMs = 5;
    int timeoutMs = 2000;
    int maxAttempts = 3;
    std::uint32_t seed = 1;
};

/// Callers send operations at a steady rate, whatever becomes of earlier ones, through the entry
/// hosts that say they are ready. They retry as careful callers do: with the same key, at another
/// entry host, after the time that a refusal names.
class Callers
{
public:
    Callers(CallerSettings settings, const oleanderhall::Register &config);

    /// Runs to the end and returns every attempt.
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
