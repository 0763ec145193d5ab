#include "state/snapshot_store.hpp"

#include "state/checksummed_file.hpp"

namespace boragestand::state
{

namespace
{

constexpr std::string_view prefix = "snapshot-";

// Index with leading zeros, so that names sort by index.
std::string file_name(std::uint64_t index)
{
    const std::string digits = std::to_string(index);
    return std::string(prefix) + std::string(20 - digits.size(), '0') + digits;
}

} // namespace

snapshot_store::snapshot_store(disk& files) : files_(files) {}

result<std::vector<std::string>> snapshot_store::list_snapshot_files()
{
    return files_.list().map(
        [](std::vector<std::string> names)
        {
            std::erase_if(names, [](const std::string& name)
                          { return !name.starts_with(prefix); });
            return names;
        });
}

result<std::optional<protocol::agreement_snapshot>> snapshot_store::load()
{
    auto names = list_snapshot_files();
    if (!names)
    {
        return tl::unexpected(names.error());
    }
    std::erase_if(*names, [](const std::string& name)
                  { return name.ends_with(temporary_suffix); });
    if (names->empty())
    {
        return std::nullopt;
    }
    const std::string& newest = names->back();
    const auto payload = read_checksummed_file(files_, newest);
    if (!payload)
    {
        return tl::unexpected(payload.error());
    }
    auto snapshot = protocol::decode_agreement_snapshot(*payload);
    if (!snapshot)
    {
        return failure(error_kind::storage_corrupt,
                       newest + " at offset 0: " + snapshot.error().message);
    }
    return remove_all_but(newest).map(
        [&] { return std::optional(std::move(*snapshot)); });
}

result<void> snapshot_store::save(const protocol::agreement_snapshot& snapshot)
{
    const std::string name = file_name(snapshot.last.index);
    return replace_checksummed_file(
               files_, name, protocol::encode_agreement_snapshot(snapshot))
        .and_then([&] { return remove_all_but(name); });
}

result<void> snapshot_store::remove_all_but(const std::string& kept_name)
{
    const auto names = list_snapshot_files();
    if (!names)
    {
        return tl::unexpected(names.error());
    }
    for (const auto& name : *names)
    {
        if (name == kept_name)
        {
            continue;
        }
        const auto removed = files_.remove(name);
        if (!removed)
        {
            return removed;
        }
    }
    return {};
}

} // namespace boragestand::state
