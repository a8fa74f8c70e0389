#include "callparser.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace oleanderhall {

namespace {

constexpr std::array<std::string_view, 10> kHopByHop{"connection",
                                                     "keep-alive",
                                                     "proxy-authenticate",
                                                     "proxy-authorization",
                                                     "te",
                                                     "trailer",
                                                     "transfer-encoding",
                                                     "upgrade",
                                                     "content-length",
                                                     "expect"};

Refusal refuse(RefusalReason reason)
{
    return {reason, ExecutionStatus::NotExecuted, std::nullopt};
}

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char a, char b) {
        return std::tolower(static_cast<unsigned char>(a))
            == std::tolower(static_cast<unsigned char>(b));
    });
}

std::string_view view(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

/// Splits "/service/rest" into the service's name and "/rest". Both are empty unless `target`
/// starts with a slash.
std::pair<std::string_view, std::string_view> splitTarget(std::string_view target)
{
    if (target.empty() || target.front() != '/')
        return {};
    const std::size_t end = target.find_first_of("/?", 1);
    if (end == std::string_view::npos)
        return {target.substr(1), {}};
    return {target.substr(1, end - 1), target.substr(end)};
}

std::optional<Millis> parseTimeout(std::string_view text)
{
    std::int64_t milliseconds = 0;
    const auto [end, failed] = std::from_chars(text.data(), text.data() + text.size(),
                                               milliseconds);
    const bool isNumber = failed == std::errc() && end == text.data() + text.size();
    if (!isNumber || milliseconds < 1 || milliseconds > kMaxTimeoutMs)
        return std::nullopt;
    return Millis(milliseconds);
}

bool isUnrepeatable(const ServiceRule &rule, std::string_view method, std::string_view path)
{
    return std::any_of(rule.unrepeatable.begin(), rule.unrepeatable.end(),
                       [&](const UnrepeatableCall &call) {
                           return call.method == method && path.starts_with(call.pathPrefix);
                       });
}

bool isPrintableAscii(std::string_view text)
{
    return std::all_of(text.begin(), text.end(),
                       [](char character) { return character > ' ' && character <= '~'; });
}

std::optional<Refusal> checkKey(const HttpRequest &request, Call &call)
{
    const auto keys = request.count(kIdempotencyKeyHeader);
    if (keys == 0)
        return call.isUnrepeatable ? std::optional(refuse(RefusalReason::MissingIdempotencyKey))
                                   : std::nullopt;
    call.idempotencyKey = std::string(view(request.at(kIdempotencyKeyHeader)));
    const bool isValid = keys == 1 && !call.idempotencyKey.empty()
        && call.idempotencyKey.size() <= kMaxKeyLength && isPrintableAscii(call.idempotencyKey);
    if (!isValid)
        return refuse(RefusalReason::InvalidIdempotencyKey);
    return std::nullopt;
}

std::optional<Refusal> checkTimeout(const HttpRequest &request, Call &call)
{
    Millis timeout = call.rule.defaultTimeout;
    const auto headers = request.count(kTimeoutHeader);
    if (headers > 0) {
        const auto parsed = parseTimeout(view(request.at(kTimeoutHeader)));
        if (headers > 1 || !parsed)
            return refuse(RefusalReason::BadTimeout);
        timeout = *parsed;
    }
    call.deadline = call.received + timeout;
    return std::nullopt;
}

} // namespace

bool isHopByHop(std::string_view name)
{
    return std::any_of(kHopByHop.begin(), kHopByHop.end(),
                       [name](std::string_view known) { return equalsIgnoringCase(known, name); });
}

std::variant<Call, Refusal> parseCall(HttpRequest &request, const RuleLookup &ruleOf, Instant now)
{
    const std::string_view target = view(request.target());
    const auto [service, rest] = splitTarget(target);
    const std::optional<ServiceRule> rule = ruleOf(service);
    if (!rule)
        return refuse(RefusalReason::UnknownService);
    Call call{.rule = *rule,
              .method = std::string(view(request.method_string())),
              .target = rest.empty() || rest.front() != '/' ? "/" + std::string(rest)
                                                            : std::string(rest),
              .received = now};
    call.isUnrepeatable = isUnrepeatable(*rule, call.method, call.target);
    if (const auto refusal = checkTimeout(request, call))
        return *refusal;
    if (const auto refusal = checkKey(request, call))
        return *refusal;
    for (const auto &field : request) {
        const std::string_view name = view(field.name_string());
        if (!isHopByHop(name) && !equalsIgnoringCase(name, kTimeoutHeader)
            && !equalsIgnoringCase(name, "host"))
            call.headers.emplace_back(name, view(field.value()));
    }
    call.body = std::move(request.body());
    return call;
}

} // namespace oleanderhall
