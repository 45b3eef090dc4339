Feature: Samples are delivered exactly once and within the staleness bound

  Scenario Outline: A sample of versions <versions> is <result> at trainer version <trainer> with staleness bound <bound>
    Given a step of 1 groups of 1 samples with staleness bound <bound> and trainer version 5
    When sample 0 of group 0 is finished with versions "<versions>"
    And the trainer fetches at version <trainer>
    Then it is "<result>"

    Examples:
      | versions | bound | trainer | result    |
      | 5        | 0     | 5       | delivered |
      | 4        | 1     | 5       | delivered |
      | 4        | 0     | 5       | remade    |
      | 5        | 0     | 6       | remade    |
      | 5        | 1     | 6       | delivered |
      | 4,5      | 0     | 5       | remade    |
      | 5,6      | 0     | 5       | delivered |
      | 3,6      | 2     | 5       | delivered |
      | 3,6      | 2     | 6       | remade    |

  Scenario Outline: A fetch that holds "<held>" of 4 finished groups gets "<delivered>"
    Given a step of 4 groups of 2 samples with staleness bound 1 and trainer version 5
    When all samples are finished with versions "5"
    And the trainer fetches at version 5 holding "<held>"
    Then the groups "<delivered>" are delivered

    Examples:
      | held    | delivered |
      |         | 0,1,2,3   |
      | 0,1     | 2,3       |
      | 0,1,2,3 |           |
      | 3       | 0,1,2     |

  Scenario: A group with a sample missing is not delivered
    Given a step of 1 groups of 2 samples with staleness bound 1 and trainer version 5
    When sample 0 of group 0 is finished with versions "5"
    And the trainer fetches at version 5 holding ""
    Then the groups "" are delivered

  Scenario: A second answer for the same sample is counted as waste
    Given a step of 1 groups of 1 samples with staleness bound 1 and trainer version 5
    When sample 0 of group 0 is finished with versions "5"
    And sample 0 of group 0 is finished with versions "5"
    And the trainer fetches at version 5 holding ""
    Then the groups "0" are delivered
    And 10 tokens are wasted

  Scenario: A trainer that lost a group receives it again
    Given a step of 2 groups of 1 samples with staleness bound 1 and trainer version 5
    When all samples are finished with versions "5"
    And the trainer fetches at version 5 holding "0,1"
    And the trainer fetches at version 5 holding "0"
    Then the groups "1" are delivered

  Scenario: Samples that the trainer holds are not generated again
    Given a step of 2 groups of 1 samples with staleness bound 1 and trainer version 5
    When all samples are finished with versions "5"
    And the trainer fetches at version 7 holding "0"
    Then 10 tokens are wasted

  Scenario Outline: The order <order> dispatches "<groups>"
    Given a step of 3 groups of 2 samples with staleness bound 1 and trainer version 5
    And its groups are expected to have "10,30,20" tokens
    When samples are dispatched in the order "<order>"
    Then the groups "<groups>" are dispatched

    Examples:
      | order           | groups      |
      | fifo            | 0,0,1,1,2,2 |
      | longest-first   | 1,1,2,2,0,0 |
      | nearly-complete | 1,1,2,2,0,0 |

  Scenario Outline: Group numbers "<groups>" are encoded as ranges "<ranges>"
    When the groups "<groups>" are encoded as ranges
    Then the ranges are "<ranges>"

    Examples:
      | groups    | ranges      |
      |           |             |
      | 3         | 3-4         |
      | 0,1,2,5   | 0-3 5-6     |
      | 7,1,0,6   | 0-2 6-8     |

  Scenario Outline: A numbered batch with <fault> is <result>
    Given a step of 2 groups of 1 samples with staleness bound 1 and trainer version 5
    When all samples are finished with versions "5"
    And batch 0 is fetched twice with the fault "<fault>"
    Then the batches are "<result>"

    Examples:
      | fault              | result            |
      | none               | the same          |
      | not the owner      | owner_unavailable |
      | backup unreachable | owner_unavailable |
      | backup unreachable, asked again | owner_unavailable |
      | group remade       | the same          |

  Scenario Outline: An owner divides its slots among the steps that are still running
    Given a step of 2 groups of 1 samples with staleness bound 1 and trainer version 5
    When <steps> such steps run and <finished> of them are finished
    Then each may have <concurrency> samples in flight at 40 slots

    Examples:
      | steps | finished | concurrency |
      | 1     | 0        | 60          |
      | 2     | 0        | 30          |
      | 6     | 5        | 60          |
      | 30    | 0        | 4           |

  Scenario Outline: A dispatch window of at most 40 allows <size> after <reported>
    Given a dispatch window of at most 40
    When <reported> are reported
    Then the window allows <size> samples in flight

    Examples:
      | reported                            | size |
      | 0 samples                           | 40   |
      | 5 samples that leave 0 of 8 waiting | 40   |
      | 5 samples that leave 2 of 8 waiting | 40   |
      | 5 samples that leave 3 of 8 waiting | 35   |
      | 99 samples that leave 8 of 8 waiting | 10   |
