Feature: Errors carry a code, a reason and an outcome

  Scenario Outline: An error is preserved between daemons
    When the error <code> with the reason "<reason>" is sent over a link
    Then it arrives as <code> with status <status> and outcome <outcome>

    Examples:
      | code                 | reason           | status | outcome |
      | overloaded           | queue is full    | 429    | not_run |
      | peer_lost            | link broke       | 504    | unknown |
      | call_outcome_unknown | owner died       | 502    | unknown |
      | no_such_code         | from the future  | 500    | not_run |
