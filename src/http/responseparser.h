#pragma once

#include "call.h"

#include <boost/beast/http/basic_parser.hpp>

#include <string>

namespace oleanderhall {

/// Internal: parses one HTTP response and keeps only what an HttpClient returns. Unlike Beast's own
/// parser, it stores no header fields unless they are wanted, as each is an allocation.
class ResponseParser : public boost::beast::http::basic_parser<false>
{
public:
    ResponseParser(std::uint64_t maxBodyBytes, bool wantsHeaders)
        : m_wantsHeaders(wantsHeaders)
    {
        body_limit(maxBodyBytes);
        eager(true);
    }

    int status() const { return m_status; }
    HeaderList takeHeaders() { return std::move(m_headers); }
    std::string takeBody() { return std::move(m_body); }

private:
    using Error = boost::beast::error_code;
    using Text = boost::beast::string_view;

    void on_request_impl(boost::beast::http::verb, Text, Text, int, Error &) override {}
    void on_response_impl(int status, Text, int, Error &) override { m_status = status; }
    void on_field_impl(boost::beast::http::field, Text name, Text value, Error &) override
    {
        if (m_wantsHeaders)
            m_headers.emplace_back(std::string(name), std::string(value));
    }
    void on_header_impl(Error &) override {}
    void on_body_init_impl(const boost::optional<std::uint64_t> &, Error &) override {}
    std::size_t on_body_impl(Text part, Error &) override
    {
        m_body.append(part.data(), part.size());
        return part.size();
    }
    void on_chunk_header_impl(std::uint64_t, Text, Error &) override {}
    std::size_t on_chunk_body_impl(std::uint64_t, Text part, Error &) override
    {
        m_body.append(part.data(), part.size());
        return part.size();
    }
    void on_finish_impl(Error &) override {}

    bool m_wantsHeaders;
    int m_status = 0;
    HeaderList m_headers;
    std::string m_body;
};

} // namespace oleanderhall
