"""features.steps.cell_processes_steps: faults in a cell of separate processes."""

import time

from behave import given, then, when
from behave.runner import Context

from features.support.cell_processes import ProcessCell
from standins.processes import ProcessGroup

PAUSE_S = 7.0


@given("a cell of {count:d} daemon processes and a platform stand-in")
def step_processes(context: Context, count: int) -> None:
    group = ProcessGroup()
    context.add_cleanup(group.close)
    context.process_cell = ProcessCell(group, count)
    context.process_cell.wait_until(context.process_cell.has_converged)
    context.lead_before = context.process_cell.current_value("lead")


@when("in the cell of daemon processes {fault}")
def step_fault(context: Context, fault: str) -> None:
    cell = context.process_cell
    lead = context.lead_before["holder_vm_id"]
    if fault == "the lead is killed":
        cell.kill(lead)
    elif fault == "the lead is frozen past its lease and wakes":
        cell.daemons[lead].pause()
        time.sleep(PAUSE_S)
        cell.daemons[lead].resume()
    elif fault == "the platform hangs for 8 s and the lead is killed":
        cell.set_faults(outage="hang")
        cell.kill(lead)
        time.sleep(8)
        cell.set_faults()
    elif fault == "a third of all write answers is lost for 6 s":
        cell.set_faults(lose_write_answers=0.33, seed=7)
        time.sleep(6)
        cell.set_faults()
    else:
        assert fault == "the lead is stopped gracefully and started again", fault
        assert cell.restart(lead) == 0
    context.keeps_lead = fault.startswith("a third")


@then("the cell of daemon processes converges with a lead that answers")
def step_converged(context: Context) -> None:
    cell = context.process_cell

    def has_converged_with_lead() -> bool:
        epoch = cell.current_value("lead")["epoch"]
        if not context.keeps_lead and epoch <= context.lead_before["epoch"]:
            return False
        return cell.has_converged()

    cell.wait_until(has_converged_with_lead)


@then("the stored lead, table and shard pairs never reverted to an older epoch")
def step_never_reverted(context: Context) -> None:
    cell = context.process_cell
    leads = cell.history("lead")
    for old, new in zip(leads, leads[1:], strict=False):
        same_lead = (old["holder_vm_id"], old["incarnation"]) == (
            new["holder_vm_id"],
            new["incarnation"],
        )
        released = new["holder_vm_id"] == ""
        epoch_change = new["epoch"] - old["epoch"]
        assert epoch_change == (0 if same_lead or released else 1), (old, new)
    epochs = [table["lead_epoch"] for table in cell.history("table")]
    assert epochs == sorted(epochs), epochs
    newest: dict[int, int] = {}
    for value in cell.history("shards"):
        for pair in value["pairs"]:
            before = newest.get(pair["shard"], 0)
            assert pair["epoch"] in (before, before + 1), pair
            newest[pair["shard"]] = pair["epoch"]
