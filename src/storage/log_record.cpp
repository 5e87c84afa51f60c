#include "kingcuptiller/storage/log_record.h"

#include "kingcuptiller/values/error.h"

#include <xxhash.h>

#include <string>

namespace kingcuptiller {

namespace {

constexpr std::uint64_t recordMagic = 0x3143544bU; // "KTC1"
constexpr std::size_t checkedHeaderBytes = recordHeaderBytes - 8;

void put(std::string &bytes, std::uint64_t value, std::size_t width)
{
    for (std::size_t byte = 0; byte < width; ++byte)
        bytes += static_cast<char>((value >> (8 * byte)) & 0xffU);
}

std::uint64_t get(std::string_view bytes, std::size_t offset, std::size_t width)
{
    std::uint64_t value = 0;
    for (std::size_t byte = 0; byte < width; ++byte)
        value |= std::uint64_t{static_cast<unsigned char>(bytes[offset + byte])} << (8 * byte);
    return value;
}

std::uint64_t checksum(std::string_view bytes)
{
    return XXH64(bytes.data(), bytes.size(), 0);
}

[[noreturn]] void reportDamage(std::size_t offset, const std::string &what)
{
    throw error(result_code::data_folder_damaged,
                "record at byte " + std::to_string(offset) + ": " + what);
}

struct record_header
{
    std::uint64_t length;
    std::uint64_t kind;
    std::uint64_t payloadChecksum;
};

record_header checkedHeader(std::string_view header, std::size_t offset)
{
    if (get(header, checkedHeaderBytes, 8) != checksum(header.substr(0, checkedHeaderBytes)))
        reportDamage(offset, "the header does not match its checksum");
    const record_header result{get(header, 4, 4), get(header, 8, 4), get(header, 32, 8)};
    if (get(header, 0, 4) != recordMagic || result.length > maximumPayloadBytes || result.kind < 1
        || result.kind > static_cast<std::uint64_t>(record_kind::identity))
        reportDamage(offset, "the header holds impossible values");
    return result;
}

} // namespace

std::string encodeRecord(const log_record &record)
{
    if (record.payload.size() > maximumPayloadBytes)
        throw error(result_code::message_too_large, "a record is larger than 1 GiB");
    std::string bytes;
    bytes.reserve(recordHeaderBytes + record.payload.size());
    put(bytes, recordMagic, 4);
    put(bytes, record.payload.size(), 4);
    put(bytes, static_cast<std::uint32_t>(record.kind), 4);
    put(bytes, 0, 4);
    put(bytes, record.term.number(), 8);
    put(bytes, record.index.number(), 8);
    put(bytes, checksum(record.payload), 8);
    put(bytes, checksum(bytes), 8);
    bytes += record.payload;
    return bytes;
}

parsed_records parseRecords(std::string_view bytes)
{
    parsed_records result;
    while (bytes.size() - result.completeBytes >= recordHeaderBytes) {
        const std::size_t offset = result.completeBytes;
        const std::string_view header = bytes.substr(offset, recordHeaderBytes);
        const record_header values = checkedHeader(header, offset);
        if (bytes.size() - offset - recordHeaderBytes < values.length)
            break;
        const std::string_view payload = bytes.substr(offset + recordHeaderBytes, values.length);
        if (values.payloadChecksum != checksum(payload))
            reportDamage(offset, "the payload does not match its checksum");
        result.records.push_back({static_cast<record_kind>(values.kind),
                                  epoch_number(get(header, 16, 8)), log_index(get(header, 24, 8)),
                                  std::string(payload)});
        result.completeBytes = offset + recordHeaderBytes + values.length;
    }
    return result;
}

log_record parseSingleRecord(std::string_view bytes, record_kind kind)
{
    parsed_records parsed = parseRecords(bytes);
    if (parsed.records.size() != 1 || parsed.completeBytes != bytes.size()
        || parsed.records.front().kind != kind)
        reportDamage(0, "the file does not consist of one record of the expected kind");
    return std::move(parsed.records.front());
}

} // namespace kingcuptiller
