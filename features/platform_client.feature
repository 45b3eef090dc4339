Feature: Platform calls have a certain result, even if responses are lost

  Scenario Outline: A platform write with the faults <faults>
    Given an HTTP platform that holds the object at version <held>
    When the platform client writes from version <from> with the faults "<faults>"
    Then the platform write ends with <outcome>
    And the platform received <puts> writes

    Examples:
      | held | from | faults              | outcome              | puts |
      | 0    | 0    | ok                  | version 1            | 1    |
      | 1    | 1    | ok                  | version 2            | 1    |
      | 3    | 1    | ok                  | object_conflict      | 1    |
      | 1    | 1    | race                | object_conflict      | 1    |
      | 1    | 1    | refuse              | platform_unavailable | 0    |
      | 1    | 1    | rate                | platform_unavailable | 0    |
      | 1    | 1    | hang                | version 2            | 1    |
      | 1    | 1    | gateway             | version 2            | 1    |
      | 1    | 1    | cut                 | version 2            | 1    |
      | 1    | 1    | garbage             | version 2            | 1    |
      | 1    | 1    | drop                | version 2            | 1    |
      | 1    | 1    | drop,ok,race        | object_conflict      | 1    |
      | 1    | 1    | drop,ok,refuse      | write_unknown        | 0    |
      | 1    | 1    | hang,refuse         | write_unknown        | 1    |
      | 1    | 1    | hang-then-race      | write_unknown        | 1    |
      | 1    | 1    | drop,ok,drop        | write_unknown        | 0    |

  Scenario Outline: A platform read that fails with <fault> carries a retry delay
    Given an HTTP platform that holds the object at version 1
    When the platform client reads with the fault "<fault>"
    Then the platform read fails with a retry delay of <retry_after_s> s

    Examples:
      | fault  | retry_after_s |
      | refuse | 7             |
      | rate   | 3             |
      | drop   | 1             |
      | cut    | 1             |
      | garbage | 1            |

  Scenario: The platform client reads, lists and watches objects and reads the VM list
    Given an HTTP platform that holds the object at version 2
    When the platform client reads everything
    Then the platform client saw the object at version 2 everywhere and a leaving VM
