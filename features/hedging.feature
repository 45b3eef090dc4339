Feature: Slow samples are hedged within the waste bound

  Scenario Outline: Whether an attempt with <tokens> tokens after <age> s is hedged: <hedged>
    Given samples usually take 0.1 s to the first token and 0.02 s per token
    And a step has generated 1000 tokens and wasted <wasted>
    When an attempt has generated <tokens> tokens after <age> s
    Then it is hedged: <hedged>

    Examples:
      | tokens | age  | wasted | hedged |
      | 100    | 2.0  | 0      | no     |
      | 20     | 1.4  | 0      | no     |
      | 20     | 1.6  | 0      | yes    |
      | 21     | 1.7  | 0      | no     |
      | 10     | 0.8  | 0      | no     |
      | 10     | 1.0  | 0      | yes    |
      | 10     | 1.0  | 10     | yes    |
      | 10     | 1.0  | 11     | no     |
      | 0      | 0.7  | 0      | no     |
      | 0      | 0.8  | 0      | yes    |
      | 0      | 0.8  | 20     | yes    |
      | 0      | 0.8  | 21     | no     |
      | 500    | 10.0 | 0      | no     |

  Scenario: Nothing is hedged before enough samples have finished
    Given no samples have finished yet
    And a step has generated 1000 tokens and wasted 0
    When an attempt has generated 0 tokens after 60.0 s
    Then it is hedged: no

  Scenario Outline: A step with an endpoint that <fault> is completed by a hedge
    Given a step of 6 groups of 1 samples and an endpoint that <fault>
    When the step runs
    Then each sample is finished once and at most <wasted> tokens are wasted
    And <cancelled> slow attempts were cancelled

    Examples:
      | fault                    | wasted | cancelled |
      | hangs before a token     | 0      | 1         |
      | hangs after 1 tokens     | 1      | 1         |
      | works                    | 0      | 0         |

  Scenario: Samples that wait in a queue are not all hedged at once
    Given a step of 60 groups of 1 samples and endpoints with 4 slots each
    When the step runs
    Then hedging wasted at most 2 percent of its tokens plus 1 sample

  Scenario: A hedge that is left alone and slow is hedged again
    Given a step of 6 groups of 1 samples, and endpoints of which one fails and one hangs
    When the step runs
    Then each sample is finished once and at most 0 tokens are wasted
    And all requests of a sample name it, among them a hedge of a hedge
