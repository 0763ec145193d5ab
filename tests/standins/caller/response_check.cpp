#include "response_check.hpp"

namespace boragestand::standins
{

namespace
{

constexpr std::size_t max_head_size = 1024;

} // namespace

response_check::status response_check::add(std::string_view bytes)
{
    if (status_ != status::incomplete)
    {
        return status_;
    }
    input_ += bytes;
    status_ = has_head_ ? status::incomplete : check_head();
    if (status_ != status::incomplete || !has_head_)
    {
        return status_;
    }
    const auto size = static_cast<std::uint32_t>(input_.size());
    if (checked_ + size > requested_.bytes ||
        input_ != body_part(requested_.id, checked_, size))
    {
        return status_ = status::wrong_response;
    }
    checked_ += size;
    input_.clear();
    if (checked_ == requested_.bytes)
    {
        status_ = status::complete;
    }
    return status_;
}

response_check::status response_check::check_head()
{
    const auto line = take_line(input_);
    if (!line)
    {
        return input_.size() > max_head_size ? status::wrong_response
                                             : status::incomplete;
    }
    const auto head = parse_response_head(*line);
    if (!head)
    {
        return status::wrong_response;
    }
    if (head->service != requested_.service)
    {
        return status::wrong_service;
    }
    if (head->id != requested_.id)
    {
        return status::wrong_response;
    }
    has_head_ = true;
    return head->result == outcome::ok ? status::incomplete : status::shed;
}

} // namespace boragestand::standins
