Feature: Requests find an endpoint, and another one after a fault

  Scenario Outline: A completion survives a fault in the middle
    Given a front door before 2 keepers and 2 engines
    When a completion of 30 tokens meets the fault that <fault> at token 10
    Then the relayed answer is whole, each token once
    And <engines> engines were used

    Examples:
      | fault                   | engines |
      | its keeper is lost      | 1       |
      | its engine crashes      | 2       |

  Scenario: Running requests move away from an engine that turns out slow
    Given a front door before 2 keepers and 3 engines
    And engine e1 needs 100 ms for a token and the others 2 ms
    When the others are busy and 2 completions of 200 tokens run at engine e1
    Then both are whole long before engine e1 could have ended them

  Scenario Outline: A refusal before running moves the work elsewhere
    Given a front door before 2 keepers and 2 engines
    And engine e1 <state>
    When 6 completions are asked for at the front door
    Then all relayed answers are whole

    Examples:
      | state             |
      | refuses           |
      | is gone           |
      | has an old version |
      | is leaving        |

  Scenario Outline: Another engine's different text is never joined to the first
    Given a front door before 2 keepers and 2 engines
    And the engines give different texts for the same seed
    When a completion for a consumer that <consumer> meets a crash at token 10
    Then the relayed answer is <result>

    Examples:
      | consumer          | result                  |
      | can start again   | whole after 1 restart   |
      | cannot start again | the error stream_torn  |

  Scenario: A refusal after a try that may have run does not claim that it did not
    Given a front door before 2 keepers and 1 engines
    When a completion of 30 tokens meets the fault that its engine crashes at token 10
    Then the relayed error has outcome unknown

  Scenario Outline: Policies choose among the endpoints
    Given a front door before 2 keepers and 4 engines
    And the routing policy is <policy>
    When 40 completions are asked for at the front door
    Then all relayed answers are whole
    And at least <engines> engines were used

    Examples:
      | policy            | engines |
      | round_robin       | 4       |
      | least_connections | 3       |
      | random_two        | 3       |
      | affinity          | 2       |

  Scenario: Messages for a request do not grow with the number of engines
    When one request is routed among 5 and among 200 endpoints
    Then as many endpoints are probed for both

  Scenario Outline: A plain call is repeated only where that is safe
    Given a front door before 2 keepers and plain services that <first> and then answer
    When <kind> plain call is made at the front door
    Then the routed plain call gives <result>
    And the plain services have run it <runs> times

    Examples:
      | first                  | kind             | result          | runs |
      | refuse before running  | a non-idempotent | 200             | 1    |
      | accept no connection   | a non-idempotent | 200             | 1    |
      | break after running    | a non-idempotent | endpoint_failed | 1    |
      | break after running    | an idempotent    | 200             | 2    |

  Scenario: Retries stay within the team's budget
    Given a front door before 2 keepers and plain services that only break after running
    When 40 idempotent plain calls are made at the front door
    Then the plain services have run at most 55 calls
