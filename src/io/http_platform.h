#pragma once

#include "citronford/object_store.h"
#include "citronford/table_service.h"
#include "citronford/vm_list.h"
#include "io/http_client.h"

namespace citronford {

/// The platform's services over HTTP and JSON (docs/design.md, section 4.3).
class http_platform final : public table_service, public object_store, public vm_list {
  public:
    http_platform(http_client& client, endpoint address, duration timeout);

    void commit(std::span<const table_check> checks, std::span<const table_write> writes,
                commit_callback done) override;
    void scan(std::string_view prefix, table_version since, scan_callback done) override;
    void put(std::string_view name, std::string_view content, put_callback done) override;
    void get(std::string_view name, get_callback done) override;
    void list(list_callback done) override;

  private:
    void call(std::string_view method, std::string_view path, std::string_view body,
              http_client::callback done);

    http_client& client_;
    endpoint address_;
    duration timeout_;
};

} // namespace citronford
