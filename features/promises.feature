Feature: Promises hold while two faults act at once on separate processes
  Trainers, callers and operators load a deployment of separate processes. The audit
  then checks the logs of the stand-ins and of the load.

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
