Feature: A call to the store is not held up by a path that is silent

  Scenario Outline: A call that gets no answer is repeated through other daemons
    Given the store <direct>, and through other daemons it <relayed>
    When a daemon calls the store
    Then it has <outcome> after <least> to <most> s, with <calls> calls through others

    Examples:
      | direct             | relayed             | outcome    | least | most | calls |
      | answers in 0.05 s  | answers in 0.05 s   | an answer  | 0.04  | 0.3  | 0     |
      | is silent          | answers in 0.05 s   | an answer  | 0.4   | 0.7  | 1     |
      | refuses            | answers in 0.05 s   | an answer  | 0.0   | 0.3  | 1     |
      | answers in 0.6 s   | is not reached      | an answer  | 0.5   | 0.9  | 1     |
      | is not reached     | is not reached      | no answer  | 0.0   | 0.3  | 1     |
      | refuses            | is not reached      | a refusal  | 0.0   | 0.3  | 1     |

  Scenario: While the direct path is silent, the next call goes through others at once
    Given the store is silent, and through other daemons it answers in 0.05 s
    When a daemon calls the store
    And a daemon calls the store
    Then it has an answer after 0.0 to 0.3 s, with 2 calls through others

  Scenario Outline: One way after another is tried
    When ways end as <ways>, each started 0.1 s after the one before
    Then the result is <result> after <least> to <most> s, and <started> were started

    Examples:
      | ways               | result | least | most | started |
      | a:0.02             | a      | 0.0   | 0.08 | 1       |
      | none:0.02 b:0.02   | b      | 0.0   | 0.09 | 2       |
      | a:5 b:0.02         | b      | 0.1   | 0.3  | 2       |
      | a:0.15 b:5         | a      | 0.14  | 0.3  | 2       |
      | none:0.02 none:0.1 | none   | 0.1   | 0.3  | 2       |
