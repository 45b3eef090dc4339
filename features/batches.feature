Feature: Jobs on a ledger in memory

  Scenario Outline: Groups that come again are found by whoever runs the job
    Given jobs <earlier> of trainer "r" in the ledger, read by <runner>
    When job "k2" of step 2 with groups <groups> is opened
    Then its groups that the trainer waits for in any case are <carried>

    Examples:
      | earlier              | runner             | groups | carried |
      | k1=1:a,b             | the same daemon    | b,c    | b       |
      | k1=1:a,b             | another daemon     | b,c    | b       |
      | k0=0:a k1=1:b        | another daemon     | a,b,c  | a,b     |
      | k1=1:a               | another daemon     | b,c    | none    |
      | other@k1=1:b         | another daemon     | b,c    | none    |
      | k2=2:b               | the same daemon    | b,c    | none    |
      | k3=3:b               | another daemon     | b,c    | none    |

  Scenario: A job is opened although an earlier one cannot be read
    Given jobs k1=1:a,b of trainer "r" in the ledger, read by another daemon
    And the ledger's store is away
    When job "k2" of step 2 with groups b,c is opened
    Then its groups that the trainer waits for in any case are none

  Scenario Outline: A job's segments are read without those of other jobs
    Given a ledger with <others> other jobs and job "j1", each with <count> segments
    When the segments of "j1" from number <first> on are read
    Then segments <found> are returned, and at most <reads> objects are read

    Examples:
      | others | count | first | found | reads |
      | 9      | 0     | 0     | none  | 1     |
      | 9      | 1     | 0     | 0-0   | 3     |
      | 9      | 1     | 1     | none  | 1     |
      | 9      | 12    | 0     | 0-11  | 15    |
      | 9      | 40    | 0     | 0-39  | 47    |
      | 9      | 40    | 38    | 38-39 | 3     |

  Scenario Outline: An ended job is sealed, so that its log is final
    Given an open job "j1" of 4 items with <listed> listed and <finished> finished ones
    And <other> of them were listed by another daemon meanwhile
    When the job is sealed while the store <store>
    Then its log has <results> results, <completed> of them completed, and is final <final>

    Examples:
      | listed | finished | other | store                | results | completed | final |
      | 0      | 0        | 0     | answers              | 4       | 0         | yes   |
      | 2      | 1        | 0     | answers              | 4       | 3         | yes   |
      | 4      | 0        | 0     | answers              | 4       | 4         | yes   |
      | 1      | 2        | 1     | answers              | 4       | 3         | yes   |
      | 1      | 1        | 0     | is away for a while  | 4       | 2         | yes   |
      | 1      | 1        | 0     | is away              | 1       | 1         | no    |

  Scenario Outline: A replica's own answer goes before what was believed of its weights
    Given a replica that lists version <listed> and is believed to have <believed>
    When it answers by version <answered>
    Then it is believed to have version <now>

    Examples:
      | listed | believed | answered | now |
      | 1      | 0        | 2        | 2   |
      | 1      | 4        | 2        | 2   |
      | 3      | 4        | 2        | 3   |

  Scenario Outline: Which versions may go on with an item
    Given an item with events of versions <made> of a job from version 2 on, single <single>
    Then version <version> may go on with it <admitted>

    Examples:
      | made | single | version | admitted |
      | none | no     | 2       | yes      |
      | none | no     | 1       | no       |
      | 2    | no     | 3       | yes      |
      | 2    | yes    | 3       | no       |
      | 2    | yes    | 2       | yes      |
      | none | yes    | 3       | yes      |

  Scenario Outline: Logs are kept up to a size
    When logs of sizes <sizes> are kept within 100 bytes, "a" being used again
    Then the logs kept are <kept>

    Examples:
      | sizes            | kept  |
      | a:40 b:40        | a,b   |
      | a:40 b:40 c:40   | a,c   |
      | a:40 b:400       | b     |

  Scenario Outline: A series of changes takes few watches
    Given a feed on a store in memory that rests <pause> s after a change
    When <count> objects are written one after the other
    Then the feed has all of them after at most <watches> watches

    Examples:
      | pause | count | watches |
      | 0     | 20    | 21      |
      | 0.2   | 20    | 3       |

  Scenario: A feed whose watch hangs is listed again when it is known to be out of date
    Given a feed on a store whose watches hear nothing
    When an object is written and the feed is told to list again
    Then the feed has the object before its watch ends
    And the feed ends when it is cancelled

  Scenario Outline: What is known of a replica is dropped with it
    Given a fleet with replica "a" of incarnation 1, whose prompts and pace are known
    When the fleet hears <news>
    Then the incarnations that are gone are <gone>, and its prompts are known <known>

    Examples:
      | news                  | gone | known |
      | a is removed          | 1    | no    |
      | a is listed again     | none | yes   |
      | a starts again        | 1    | no    |
      | b is removed          | none | yes   |

  Scenario: Prompts known of a replica that lives for days are bounded
    When 5000 groups have been sent to a replica
    Then the first group's prompt is no longer known there, the last one's is
