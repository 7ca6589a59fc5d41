#pragma once

#include "citronford/vm_control.h"
#include "io/http_client.h"

namespace citronford {

/// HTTP client of the VM interface of the platform: `POST /vms/{id}/drain` and `/reboot` with the
/// body {"order":N}; `GET /vms/{id}`, whose reply is {"state","order"}.
class http_vm_control final : public vm_control {
  public:
    http_vm_control(http_client& client, endpoint address, duration timeout);

    void drain(const vm_id& vm, vm_order_number order, order_callback done) override;
    void reboot(const vm_id& vm, vm_order_number order, order_callback done) override;
    void query_status(const vm_id& vm, status_callback done) override;

  private:
    void send_order(const vm_id& vm, std::string_view verb, vm_order_number order,
                    order_callback done);

    http_client& client_;
    endpoint address_;
    duration timeout_;
};

} // namespace citronford
