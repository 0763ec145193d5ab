#include "response_check.hpp"

namespace boragestand::standins
{

namespace
{

constexpr std::size_t max_head_size = 1024;

} // namespace

response_check::verdict response_check::add(std::string_view bytes)
{
    if (verdict_ != verdict::incomplete)
    {
        return verdict_;
    }
    input_ += bytes;
    verdict_ = has_head_ ? verdict::incomplete : check_head();
    if (verdict_ != verdict::incomplete || !has_head_)
    {
        return verdict_;
    }
    const auto size = static_cast<std::uint32_t>(input_.size());
    if (checked_ + size > wanted_.bytes ||
        input_ != body_part(wanted_.id, checked_, size))
    {
        return verdict_ = verdict::wrong_response;
    }
    checked_ += size;
    input_.clear();
    if (checked_ == wanted_.bytes)
    {
        verdict_ = verdict::complete;
    }
    return verdict_;
}

response_check::verdict response_check::check_head()
{
    const auto line = take_line(input_);
    if (!line)
    {
        return input_.size() > max_head_size ? verdict::wrong_response
                                             : verdict::incomplete;
    }
    const auto head = parse_response_head(*line);
    if (!head)
    {
        return verdict::wrong_response;
    }
    if (head->service != wanted_.service)
    {
        return verdict::wrong_service;
    }
    if (head->id != wanted_.id)
    {
        return verdict::wrong_response;
    }
    has_head_ = true;
    return head->result == outcome::ok ? verdict::incomplete : verdict::shed;
}

} // namespace boragestand::standins
