#include "gateway/impl/ExchangeMessages.h"

namespace lagoontiller::gateway::impl {

namespace {

constexpr std::size_t sizeBytes = 4;
/// \brief Larger parts are malformed; a peer passes on what it reads at once from an endpoint.
constexpr std::size_t maxPartBytes = 1U << 20U;

std::size_t decodeSize(std::string_view bytes)
{
    std::size_t size = 0;
    for (std::size_t index = 0; index < sizeBytes; ++index)
        size = size << 8U | static_cast<unsigned char>(bytes[index]);
    return size;
}

} // namespace

std::string encodePart(const wire::RelayedPart& part)
{
    const auto size = part.ByteSizeLong();
    std::string text;
    text.reserve(sizeBytes + size);
    for (std::size_t index = 0; index < sizeBytes; ++index)
        text.push_back(static_cast<char>(size >> (8U * (sizeBytes - 1 - index)) & 0xffU));
    part.AppendToString(&text);
    return text;
}

std::optional<std::vector<wire::RelayedPart>> PartReader::feed(std::string_view bytes)
{
    this->pending.append(bytes);
    std::vector<wire::RelayedPart> parts;
    std::string_view rest = this->pending;
    while (rest.size() >= sizeBytes) {
        const auto size = decodeSize(rest);
        if (size > maxPartBytes)
            return std::nullopt;
        if (rest.size() < sizeBytes + size)
            break;
        if (!parts.emplace_back().ParseFromArray(rest.data() + sizeBytes, static_cast<int>(size)))
            return std::nullopt;
        rest.remove_prefix(sizeBytes + size);
    }
    this->pending.erase(0, this->pending.size() - rest.size());
    return parts;
}

wire::RelayedHead encodeHead(const transport::ResponseHead& head)
{
    wire::RelayedHead message;
    message.set_status(static_cast<std::uint32_t>(head.status));
    for (const auto& field : head.fields) {
        auto* const added = message.add_fields();
        added->set_name(field.name);
        added->set_value(field.value);
    }
    message.set_framing(static_cast<std::uint32_t>(head.framing));
    message.set_keep_alive(head.keepAlive);
    return message;
}

transport::ResponseHead decodeHead(const wire::RelayedHead& message)
{
    transport::ResponseHead head;
    head.status = static_cast<int>(message.status());
    for (const auto& field : message.fields())
        head.fields.add(field.name(), field.value());
    head.framing = static_cast<transport::Framing>(
        std::min(message.framing(), static_cast<std::uint32_t>(transport::Framing::UntilClose)));
    head.keepAlive = message.keep_alive();
    return head;
}

transport::ExchangeEnd decodeEnd(const wire::RelayedEnd& message)
{
    const bool known = message.end() <= static_cast<std::uint32_t>(transport::ExchangeEnd::NoPath);
    return known ? static_cast<transport::ExchangeEnd>(message.end()) : transport::ExchangeEnd::Broken;
}

transport::OtherConnections decodeConnections(const wire::RelayedEnd& message)
{
    return { message.lost_connections(), message.open_connections(), message.active_connections() };
}

transport::ProbeResult decodeProbe(const wire::RelayedEnd& message)
{
    const bool known = message.probe() <= static_cast<std::uint32_t>(transport::ProbeResult::Unanswered);
    return known ? static_cast<transport::ProbeResult>(message.probe()) : transport::ProbeResult::Unanswered;
}

} // namespace lagoontiller::gateway::impl
