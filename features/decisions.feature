Feature: Decisions on leases, calls and versions shared by daemons and model

  Scenario Outline: A write whose answer was lost is resolved by reading back
    When a read-back finds version <found> by <by> after a write against <expected>
    Then the lost write counts as <result>

    Examples:
      | found | by    | expected | result      |
      | 4     | own   | 3        | applied     |
      | 3     | other | 3        | not_applied |
      | 0     | none  | 0        | not_applied |
      | 4     | other | 3        | conflict    |
      | 5     | other | 3        | undecided   |
      | 0     | none  | 3        | conflict    |

  Scenario Outline: A keyed call runs only if no earlier run is possible
    When a keyed call meets a record <record>, running <running>, fresh epoch <fresh>, first <first>
    Then the keyed call is answered with <answer>

    Examples:
      | record  | running | fresh | first | answer      |
      | none    | no      | no    | no    | run         |
      | none    | no      | yes   | no    | unknown     |
      | none    | no      | yes   | yes   | run         |
      | intent  | yes     | no    | no    | in_progress |
      | intent  | no      | no    | no    | unknown     |
      | done    | no      | yes   | no    | replay      |
      | not_run | no      | no    | no    | run         |
      | unknown | no      | no    | yes   | unknown     |

  Scenario Outline: Only a pair member that has sealed the epoch and waited writes the next pair
    When <writer> has sealed epoch <sealed> and would replace pair a/b of epoch 4 at <now> with promises until 9
    Then writing the next pair is <verdict>

    Examples:
      | writer | sealed | now | verdict |
      | a      | 4      | 9   | allowed |
      | b      | 4      | 10  | allowed |
      | b      | 3      | 10  | refused |
      | b      | 4      | 8   | refused |
      | c      | 4      | 10  | refused |

  Scenario Outline: The next pair keeps the members that hold the records
    When the pair a/b of epoch 4 is replaced with <usable> usable
    Then the next pair is <owner>/<backup>

    Examples:
      | usable | owner | backup |
      | b,c,d  | b     | c      |
      | c,a    | a     | c      |
      | d,b,a  | a     | b      |
      | a      | a     | none   |
      | c,d    | none  | none   |

  Scenario Outline: A holder stops acting before another VM may take its lease
    When a lease of 5 s with a margin of 1 s, granted at 10, is checked at <now>
    Then the holder <acts> and another may take it: <taken>

    Examples:
      | now  | acts | taken |
      | 13.9 | acts | no    |
      | 14   | ends | no    |
      | 15   | ends | yes   |
