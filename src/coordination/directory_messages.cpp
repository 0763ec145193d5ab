#include "coordination/directory_messages.hpp"

#include "base/metrics_text.hpp"
#include "state/routing_plan_fields.hpp"

#include <algorithm>

namespace boragestand::state::codec
{

using namespace coordination;

template <>
inline constexpr auto last_enumerator<upstream_condition> =
    upstream_condition::gone;

template <>
struct fields_of<registered_upstream>
{
    static auto tie(auto& value)
    {
        return std::tie(value.id, value.service, value.address,
                        value.data_centre, value.incarnation, value.sequence,
                        value.condition, value.slots, value.warmup_left_ms);
    }
};

template <>
struct fields_of<upstream_refresh>
{
    static auto tie(auto& value)
    {
        return std::tie(value.id, value.incarnation, value.sequence);
    }
};

template <>
struct fields_of<evacuation_notice>
{
    static auto tie(auto& value)
    {
        return std::tie(value.data_centre, value.active, value.index,
                        value.ended_ms);
    }
};

template <>
struct fields_of<warmup_grant>
{
    static auto tie(auto& value)
    {
        return std::tie(value.upstream, value.incarnation,
                        value.requests_per_1000_s, value.burst,
                        value.lifetime_ms);
    }
};

template <>
struct fields_of<directory_request>
{
    static auto tie(auto& value)
    {
        return std::tie(value.from_replica, value.sender, value.epoch,
                        value.cursor, value.plan_version, value.wants_current,
                        value.load, value.evacuation_index);
    }
};

template <>
inline constexpr auto
    required_fields<directory_request> = std::optional<std::size_t>(6);

template <>
struct fields_of<directory_reply>
{
    static auto tie(auto& value)
    {
        return std::tie(value.epoch, value.cursor, value.current,
                        value.plan_version, value.upstreams, value.refreshes,
                        value.plan, value.controls, value.has_more,
                        value.evacuations, value.grants, value.load);
    }
};

template <>
inline constexpr auto
    required_fields<directory_reply> = std::optional<std::size_t>(9);

} // namespace boragestand::state::codec

namespace boragestand::coordination
{

namespace
{

// 25,000 upstreams of 100 bytes each and 10,000 routes fit.
constexpr std::size_t max_reply_size = 8 * 1024 * 1024;
constexpr std::size_t max_request_size = 4 * 1024;

template <typename Message>
std::string encode_text(const Message& message)
{
    const auto bytes = state::codec::encode(message);
    return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
}

std::span<const std::byte> to_bytes(std::string_view text)
{
    return std::as_bytes(std::span(text.data(), text.size()));
}

} // namespace

std::vector<evacuation_notice>
merge_evacuations(std::vector<evacuation_notice>& known,
                  const std::vector<evacuation_notice>& received)
{
    std::vector<evacuation_notice> added;
    for (const auto& notice : received)
    {
        const auto found =
            std::find_if(known.begin(), known.end(),
                         [&notice](const auto& each)
                         { return each.data_centre == notice.data_centre; });
        if (found == known.end())
        {
            known.push_back(notice);
            added.push_back(notice);
        }
        else if (found->index < notice.index)
        {
            *found = notice;
            added.push_back(notice);
        }
    }
    return added;
}

std::uint64_t newest_index(const std::vector<evacuation_notice>& notices)
{
    std::uint64_t newest = 0;
    for (const auto& notice : notices)
    {
        newest = std::max(newest, notice.index);
    }
    return newest;
}

void append_evacuations(std::string& text,
                        const std::vector<evacuation_notice>& notices)
{
    append_header(text, "boragestand_evacuated",
                  "1 if the data centre gets no new flows", "gauge");
    for (const auto& notice : notices)
    {
        text += "boragestand_evacuated{data_centre=\"" + notice.data_centre +
                "\"} " + (notice.active ? "1" : "0") + '\n';
    }
}

std::string encode_message(const directory_request& message)
{
    return encode_text(message);
}

std::string encode_message(const directory_reply& message)
{
    return encode_text(message);
}

result<directory_request> decode_directory_request(std::string_view bytes)
{
    return state::codec::decode<directory_request>(
        to_bytes(bytes), max_request_size, "directory request");
}

result<directory_reply> decode_directory_reply(std::string_view bytes)
{
    return state::codec::decode<directory_reply>(
        to_bytes(bytes), max_reply_size, "directory reply");
}

} // namespace boragestand::coordination
