#include "fleet/directory_store.hpp"

#include "state/checksummed_file.hpp"

namespace boragestand::fleet
{

namespace
{

constexpr std::string_view file_name = "upstreams";

} // namespace

result<saved_directory> directory_store::load()
{
    const auto text = state::read_checksummed_file(*files_, file_name);
    if (!text && text.error().kind == error_kind::not_found)
    {
        return saved_directory{};
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
    return saved_directory{std::move(reply->upstreams), std::move(reply->plan),
                           std::move(reply->evacuations)};
}

result<void> directory_store::save(const saved_directory& directory)
{
    coordination::directory_reply reply;
    reply.upstreams = directory.upstreams;
    reply.plan = directory.plan;
    reply.evacuations = directory.evacuations;
    return state::replace_checksummed_file(*files_, file_name,
                                           coordination::encode_message(reply));
}

} // namespace boragestand::fleet
