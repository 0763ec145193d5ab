#include "fleet/registry_store.hpp"

#include "state/checked_file.hpp"

namespace boragestand::fleet
{

namespace
{

constexpr std::string_view file_name = "upstreams";

} // namespace

result<std::vector<coordination::registered_upstream>> registry_store::load()
{
    const auto text = state::read_checked_file(*files_, file_name);
    if (!text && text.error().kind == error_kind::not_found)
    {
        return std::vector<coordination::registered_upstream>{};
    }
    if (!text)
    {
        return tl::unexpected(text.error());
    }
    auto reply = coordination::decode_directory_reply(*text);
    if (!reply)
    {
        return failure(error_kind::storage_corrupt, reply.error().message);
    }
    return std::move(reply->upstreams);
}

result<void> registry_store::save(
    const std::vector<coordination::registered_upstream>& records)
{
    coordination::directory_reply reply;
    reply.upstreams = records;
    return state::replace_checked_file(*files_, file_name,
                                       coordination::encode_message(reply));
}

} // namespace boragestand::fleet
