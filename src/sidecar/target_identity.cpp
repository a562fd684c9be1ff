#include "sidecar/target_identity.h"

namespace bulrushgw::sidecar {

void target_identity::on_answer(std::uint64_t session, const std::string& id,
                                const assignment::target_status& known, std::uint64_t last_broken)
{
    if (session == 0 || id != known.id || is_answered(session, known)) {
        return;
    }
    const bool is_later_session = confirmed_ && confirmed_->run.is_same_instance(known);
    const bool may_be_new_run =
        is_later_session && known.start_time_ms != 0 &&
        (confirmed_->awaits_heartbeat || last_broken >= confirmed_->session);
    confirmed_ = confirmation{session, known, may_be_new_run};
}

void target_identity::on_heartbeat(const assignment::target_status& known)
{
    if (confirmed_ && confirmed_->run.is_same_instance(known)) {
        confirmed_->run = known;
        confirmed_->awaits_heartbeat = false;
    }
}

} // namespace bulrushgw::sidecar
