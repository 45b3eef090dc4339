Feature: What must always hold, under two faults at once on real processes
  Load of trainers, callers and operators runs against separate processes; the audit
  looks from outside at the logs of the stand-ins and of the load.

  Scenario Outline: No promise is broken when <first> and <second>
    Given a deployment of separate processes under load
    When "<first>" and "<second>" happen together
    Then the audit finds no breach
    And trainers, callers and operators were served

    Examples:
      | first                         | second                         |
      | kill a daemon and restart it  | open connections go silent     |
      | pause a daemon past its leases | service loses answers         |
      | platform hangs                | stop a daemon as planned       |
      | platform loses write answers  | crash an engine and restart it |
      | kill a daemon and restart it  | platform refuses               |
      | an endpoint leaves            | pause an engine                |
