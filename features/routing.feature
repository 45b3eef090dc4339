Feature: Requests are routed to an endpoint and retried after a failure

  Scenario Outline: A completion survives a failure halfway
    Given a router with 2 keepers and 2 engines
    When a completion of 30 tokens runs and <fault> at token 10
    Then the relayed answer has every token exactly once
    And <engines> engines were used

    Examples:
      | fault                   | engines |
      | its keeper is lost      | 1       |
      | its engine crashes      | 2       |

  Scenario: Running requests move away from a slow engine
    Given a router with 2 keepers and 3 engines
    And engine e1 takes 100 ms per token and the others 2 ms
    When the others are busy and 2 completions of 200 tokens run at engine e1
    Then both are complete in less than half the time that engine e1 needs

  Scenario Outline: A request moves to another engine if the first does not run it
    Given a router with 2 keepers and 2 engines
    And engine e1 <state>
    When 6 completions are requested at the router
    Then all relayed answers are whole

    Examples:
      | state             |
      | refuses           |
      | is gone           |
      | has an old version |
      | is leaving        |

  Scenario Outline: Texts of two engines are never joined
    Given a router with 2 keepers and 2 engines
    And the engines give different texts for the same seed
    When a completion for a consumer that <consumer> runs and its engine crashes at token 10
    Then the relayed answer is <result>

    Examples:
      | consumer          | result                  |
      | can start again   | whole after 1 restart   |
      | cannot start again | the error stream_torn  |

  Scenario Outline: A consumer that <consumer> gets tokens of versions <versions>
    Given a router with 2 keepers and 2 engines
    And engine e1 has version 1 and the others version 2
    When a completion for a consumer that <consumer> runs and its engine crashes at token 10
    Then its tokens were made by versions <versions>

    Examples:
      | consumer           | versions |
      | can start again    | 2        |
      | cannot start again | 1,2      |

  Scenario: A refusal after an attempt that may have run has outcome unknown
    Given a router with 2 keepers and 1 engines
    When a completion of 30 tokens runs and its engine crashes at token 10
    Then the relayed error has outcome unknown

  Scenario Outline: Each routing policy distributes requests over the endpoints
    Given a router with 2 keepers and 4 engines
    And the routing policy is <policy>
    When 40 completions are requested at the router
    Then all relayed answers are whole
    And at least <engines> engines were used

    Examples:
      | policy            | engines |
      | round_robin       | 4       |
      | least_connections | 3       |
      | random_two        | 3       |
      | affinity          | 2       |

  Scenario: The number of probes per request does not depend on the number of engines
    When one request is routed among 5 and among 200 endpoints
    Then the same number of endpoints is probed for both

  Scenario Outline: A plain call is repeated only where that is safe
    Given a router with 2 keepers and plain services that <first> and then answer
    When <kind> plain call is made at the router
    Then the routed plain call gives <result>
    And the plain services have run it <runs> times

    Examples:
      | first                  | kind             | result          | runs |
      | refuse before running  | a non-idempotent | 200             | 1    |
      | accept no connection   | a non-idempotent | 200             | 1    |
      | break after running    | a non-idempotent | endpoint_failed | 1    |
      | break after running    | an idempotent    | 200             | 2    |

  Scenario: Retries stay within the team's budget
    Given a router with 2 keepers and plain services that only break after running
    When 40 idempotent plain calls are made at the router
    Then the plain services have run at most 55 calls
