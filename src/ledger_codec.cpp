// JSON encoding of ledger records, batches and snapshot heads; see ledger_p.h and ledger_index_p.h.
#include "json_shape_p.h"
#include "ledger_index_p.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace foxtaildyke
{

namespace
{

using nlohmann::json;

constexpr std::size_t kRecordFields = 12;

std::string dump(const json &value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

error malformed(std::string field)
{
    return {error_code::protocol_violation, std::move(field)};
}

/// Field types of a record, which is encoded as an array: s string, n number, l list of strings.
constexpr std::string_view kRecordShape = "nsssnssnnnsl";
static_assert(kRecordShape.size() == kRecordFields);

bool hasRecordShape(const json &value)
{
    if (!value.is_array() || value.size() != kRecordFields)
        return false;
    for (std::size_t i = 0; i < kRecordFields; ++i) {
        const auto &field = value[i];
        const bool fits = kRecordShape[i] == 's' ? field.is_string()
            : kRecordShape[i] == 'n'             ? field.is_number_integer()
                                                 : isStringList(field);
        if (!fits)
            return false;
    }
    return value[0].get<std::uint64_t>() < static_cast<std::uint64_t>(record_type::count);
}

ledger_record toRecord(const json &value)
{
    ledger_record record;
    record.type = static_cast<record_type>(value[0].get<std::uint8_t>());
    record.account = value[1];
    record.id = value[2];
    record.writer = value[3];
    record.unixSeconds = value[4];
    record.model = value[5];
    record.version = value[6];
    record.promptTokens = value[7];
    record.completionTokens = value[8];
    record.costMicroUnits = value[9];
    record.response = value[10];
    record.pins = value[11].get<std::vector<std::string>>();
    return record;
}

bool hasPartShape(const json &value)
{
    return value.is_array() && value.size() == 3 && value[0].is_string() && value[1].is_number_unsigned()
        && value[2].is_number_integer();
}

} // namespace

std::uint32_t segmentOf(std::string_view account, std::string_view id, std::uint32_t segments)
{
    const auto accountHash = XXH64(account.data(), account.size(), 0);
    return static_cast<std::uint32_t>(XXH64(id.data(), id.size(), accountHash) % segments);
}

std::uint64_t writerHash(std::string_view writer)
{
    return XXH64(writer.data(), writer.size(), 0);
}

std::string encodeRecord(const ledger_record &record)
{
    return dump(json::array({static_cast<std::uint8_t>(record.type), record.account, record.id, record.writer,
                             record.unixSeconds, record.model, record.version, record.promptTokens,
                             record.completionTokens, record.costMicroUnits, record.response, json(record.pins)}));
}

std::string joinBatch(std::string_view batchId, const std::vector<std::string> &encodedRecords)
{
    std::string text = R"({"batch":)" + dump(std::string(batchId)) + R"(,"records":[)";
    for (const auto &record : encodedRecords)
        text += (&record == &encodedRecords.front() ? "" : ",") + record;
    return text + "]}";
}

std::string encodeRecords(std::string_view batchId, const std::vector<ledger_record> &records)
{
    std::vector<std::string> encoded(records.size());
    std::ranges::transform(records, encoded.begin(), encodeRecord);
    return joinBatch(batchId, encoded);
}

result<decoded_batch> decodeRecords(std::string_view text)
{
    const auto value = json::parse(text, nullptr, false);
    if (!value.is_object() || !value.contains("batch") || !value.contains("records"))
        return malformed("batch");
    const auto &records = value["records"];
    if (!value["batch"].is_string() || !records.is_array() || !std::ranges::all_of(records, hasRecordShape))
        return malformed("records");
    decoded_batch batch{value["batch"], {}};
    batch.records.reserve(records.size());
    std::ranges::transform(records, std::back_inserter(batch.records), toRecord);
    return batch;
}

std::string encodeHead(const snapshot_head &head)
{
    json parts = json::array();
    for (const auto &part : head.parts)
        parts.push_back(json::array({part.key, part.version, part.expires}));
    return dump(json{{"index", head.index}, {"parts", std::move(parts)}});
}

result<snapshot_head> decodeHead(std::string_view text)
{
    const auto value = json::parse(text, nullptr, false);
    if (!value.is_object() || !value.contains("index") || !value.contains("parts"))
        return malformed("snapshot");
    const auto &parts = value["parts"];
    if (!value["index"].is_number_unsigned() || !parts.is_array() || !std::ranges::all_of(parts, hasPartShape))
        return malformed("snapshot");
    snapshot_head head;
    head.index = value["index"];
    for (const auto &part : parts)
        head.parts.push_back({part[0], part[1], part[2]});
    return head;
}

} // namespace foxtaildyke
