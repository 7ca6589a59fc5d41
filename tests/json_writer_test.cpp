#include "test_support.h"

#include "io/json_writer.h"

#include <nlohmann/json.hpp>

#include <limits>

using namespace citronford;
using nlohmann::json;

// Guards against commas that are missing or doubled after nested values and empty arrays.
Test(json_writer, separates_values_at_every_level) {
    json_writer writer;
    writer.begin_object();
    writer.begin_array("empty");
    writer.end_array();
    writer.begin_array("rows");
    writer.begin_object();
    writer.field("a", 1);
    writer.field("b", "x");
    writer.end_object();
    writer.begin_object();
    writer.end_object();
    writer.end_array();
    writer.field("after", -2);
    writer.end_object();
    cr_assert(writer.text() == R"({"empty":[],"rows":[{"a":1,"b":"x"},{}],"after":-2})");
}

// Guards against a text that ends its own quotes, and against numbers that lose digits.
Test(json_writer, a_parser_reads_back_what_was_written) {
    std::string every_byte;
    for (char character = 0; character < 0x7f; ++character) {
        every_byte += character;
    }
    every_byte += "\xc3\xa4\xf0\x9f\x9a\x80";
    json_writer writer;
    writer.begin_object();
    writer.field(every_byte, every_byte);
    writer.field("most", std::numeric_limits<std::uint64_t>::max());
    writer.field("least", std::numeric_limits<std::int64_t>::min());
    writer.end_object();
    const json document = json::parse(writer.text());
    cr_assert(document.at(every_byte) == every_byte);
    cr_assert(document.at("most") == std::numeric_limits<std::uint64_t>::max());
    cr_assert(document.at("least") == std::numeric_limits<std::int64_t>::min());
}
