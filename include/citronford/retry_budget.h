#pragma once

namespace citronford {

/// Bounds the additional attempts (retries and hedges) of one service by a share of its successes,
/// so that an outage of the service adds no more than the reserve.
class retry_budget {
  public:
    /// `ratio` is the number of additional attempts earned by one success.
    void set_ratio(double ratio) { ratio_ = ratio; }

    void note_success();
    [[nodiscard]] bool available() const { return tokens_ >= 1; }
    /// Attempts that may be spent at present.
    [[nodiscard]] double tokens() const { return tokens_; }
    /// Spends one attempt; the budget must be available.
    void spend() { tokens_ -= 1; }

  private:
    double ratio_ = 0.1;
    double tokens_ = 5; ///< A node without any success so far may still retry a few requests.
};

} // namespace citronford
