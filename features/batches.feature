Feature: Batch jobs on an in-memory ledger

  Scenario Outline: Resubmitted groups are found by any daemon that runs the job
    Given jobs <earlier> of trainer "r" in the ledger, read by <runner>
    When job "k2" of step 2 with groups <groups> is opened
    Then its required groups are <carried>

    Examples:
      | earlier              | runner             | groups | carried |
      | k1=1:a,b             | the same daemon    | b,c    | b       |
      | k1=1:a,b             | another daemon     | b,c    | b       |
      | k0=0:a k1=1:b        | another daemon     | a,b,c  | a,b     |
      | k1=1:a               | another daemon     | b,c    | none    |
      | other@k1=1:b         | another daemon     | b,c    | none    |
      | k2=2:b               | the same daemon    | b,c    | none    |
      | k3=3:b               | another daemon     | b,c    | none    |

  Scenario: A job opens even if an earlier job cannot be read
    Given jobs k1=1:a,b of trainer "r" in the ledger, read by another daemon
    And the ledger's store is unavailable
    When job "k2" of step 2 with groups b,c is opened
    Then its required groups are none

  Scenario Outline: Reading a job's segments does not read those of other jobs
    Given a ledger with <others> other jobs and job "j1", each with <count> segments
    When the segments of "j1" are read from number <first>
    Then segments <found> are returned, and at most <reads> objects are read

    Examples:
      | others | count | first | found | reads |
      | 9      | 0     | 0     | none  | 1     |
      | 9      | 1     | 0     | 0-0   | 3     |
      | 9      | 1     | 1     | none  | 1     |
      | 9      | 12    | 0     | 0-11  | 15    |
      | 9      | 40    | 0     | 0-39  | 47    |
      | 9      | 40    | 38    | 38-39 | 3     |

  Scenario Outline: Sealing an ended job makes its log final
    Given an open job "j1" of 4 items, <listed> committed and <finished> finished
    And another daemon has committed <other> of the finished items
    When the job is sealed while the store <store>
    Then its log has <results> results, <completed> of them completed, and final is <final>

    Examples:
      | listed | finished | other | store                | results | completed | final |
      | 0      | 0        | 0     | answers              | 4       | 0         | yes   |
      | 2      | 1        | 0     | answers              | 4       | 3         | yes   |
      | 4      | 0        | 0     | answers              | 4       | 4         | yes   |
      | 1      | 2        | 1     | answers              | 4       | 3         | yes   |
      | 1      | 1        | 0     | is away for a while  | 4       | 2         | yes   |
      | 1      | 1        | 0     | is away              | 1       | 1         | no    |

  Scenario Outline: An empty page is confirmed by the store if it may be ahead
    Given an open job "j1" of 4 items, 1 committed and 1 finished
    And the finished item is committed by <committer>
    When position 1 of "j1" is read where the job runs, after <age> ms
    Then <results> results are returned
    And the job is completed with each item listed once

    Examples:
      | committer                               | age | results |
      | nobody                                  | 0   | 1       |
      | the run, and the store never answers    | 400 | 2       |
      | a former dispatcher that was not reached | 0  | 2       |

  Scenario Outline: An item that an earlier job completed is used if its versions fit
    Given an open job "j1" of 4 items, 0 committed and 0 finished
    And its oldest version is <oldest>
    When an earlier job completes item 2 with version <version>, running <running>
    Then item 2 is <state>

    Examples:
      | oldest | version | running | state                     |
      | 1      | 1       | no      | finished                  |
      | 2      | 1       | no      | generated from its start  |
      | 2      | 2       | no      | finished                  |
      | 2      | 1       | yes     | left to its run           |

  Scenario Outline: Results that complete no group are committed together for longer
    Given a run of a job with items in groups <groups>, due in <due> s
    When its items finish at <finished>
    Then its results are committed at <commits>

    Examples:
      | groups      | due | finished          | commits |
      | a,a,a,b,b,b | 60  | 0@0.0             | 1.0     |
      | a,a,a,b,b,b | 60  | 0@0.0 3@0.3       | 1.0     |
      | a,a,a,b,b,b | 60  | 0@0.0 1@0.3 2@0.5 | 0.5     |
      | a,a,a,b,b,b | 60  | 0@0.0 1@0.1 2@0.2 | 0.4     |
      | a,a,a,b,b,b | 60  | 0@0.0 1@0.0 2@0.0 | 0.4     |
      | a,a,a,b,b,b | 60  | 0@0.0 1@1.2       | 1.0,2.2 |
      | a,a,a,b,b,b | 1.2 | 0@0.0             | 0.1     |
      | a,a,a,b,b,b | 2.1 | 0@0.0             | 0.6     |
      | a,a,b       | 60  | 2@0.0             | 0.4     |
      | -,-,-       | 60  | 0@0.0             | 0.4     |
      | a,a         | 60  | 0@0.0 1@0.2       | 0.2     |

  Scenario Outline: The result that a trainer's step ends with is committed at once
    Given a run of a job with items in groups <groups>, due in 60 s
    And its trainer waits for <wanted> groups, among them <required>
    When its items finish at <finished>
    Then its results are committed at <commits>

    Examples:
      | groups      | wanted | required | finished          | commits |
      | a,a,b,b,c,c | 1      | none     | 0@0.0 1@0.2       | 0.2     |
      | a,a,b,b,c,c | 2      | none     | 0@0.0 1@0.2       | 0.4     |
      | a,a,b,b,c,c | 1      | b        | 0@0.0 1@0.2       | 0.4     |
      | a,a,b,b,c,c | 1      | b        | 0@0.0 2@0.1 3@0.2 | 0.2     |

  Scenario Outline: The results of a job cost few charged reads
    Given a store with 9 segments of 2 results, the last <new> newer than its copies
    When the segments of the job of <total> results are read from number <first> on
    Then <found> segments are found, with <charged> charged reads

    Examples:
      | new | total | first | found | charged |
      | 0   | 18    | 0     | 9     | 0       |
      | 0   | 40    | 0     | 9     | 1       |
      | 1   | 40    | 0     | 9     | 2       |
      | 1   | 18    | 0     | 9     | 1       |
      | 3   | 40    | 6     | 3     | 4       |
      | 0   | 18    | 9     | 0     | 1       |

  Scenario: An empty page is not served if the store cannot confirm it
    Given an open job "j1" of 4 items, 1 committed and 1 finished
    And the finished item is committed by the run, and the store never answers
    Then reading position 1 of "j1" fails while the store is away

  Scenario Outline: A replica's response overrides the assumed weight version
    Given a replica that lists version <listed>, assumed to have version <believed>
    When it responds with version <answered>
    Then it is assumed to have version <now>

    Examples:
      | listed | believed | answered | now |
      | 1      | 0        | 2        | 2   |
      | 1      | 4        | 2        | 2   |
      | 3      | 4        | 2        | 3   |

  Scenario Outline: Weight versions that may continue an item
    Given an item with events of versions <made>, minimum version 2, single version <single>
    Then version <version> may continue it: <admitted>

    Examples:
      | made | single | version | admitted |
      | none | no     | 2       | yes      |
      | none | no     | 1       | no       |
      | 2    | no     | 3       | yes      |
      | 2    | yes    | 3       | no       |
      | 2    | yes    | 2       | yes      |
      | none | yes    | 3       | yes      |

  Scenario Outline: The log cache evicts the least recently used logs
    When logs of sizes <sizes> are cached within 100 bytes and "a" is used after each
    Then the cached logs are <kept>

    Examples:
      | sizes            | kept  |
      | a:40 b:40        | a,b   |
      | a:40 b:40 c:40   | a,c   |
      | a:40 b:400       | b     |

  Scenario Outline: A series of changes needs few watch requests
    Given a feed on an in-memory store that pauses <pause> s after a change
    When <count> objects are written in sequence
    Then the feed has all of them after at most <watches> watch requests

    Examples:
      | pause | count | watches |
      | 0     | 20    | 21      |
      | 0.2   | 20    | 3       |

  Scenario: An outdated feed is listed again while its watch hangs
    Given a feed on a store whose watches return no changes
    When an object is written and the feed is refreshed
    Then the feed has the object before its watch ends
    And the feed ends when it is cancelled

  Scenario Outline: Data about a replica is removed with the replica
    Given a fleet with replica "a" of incarnation 1 and a recorded prompt
    When the fleet is updated: <news>
    Then the removed incarnations are <gone>, and its prompt is recorded: <known>

    Examples:
      | news                  | gone | known |
      | a is removed          | 1    | no    |
      | a is listed again     | none | yes   |
      | a starts again        | 1    | no    |
      | b is removed          | none | yes   |

  Scenario: The number of prompts recorded per replica is bounded
    When items of 5000 groups have been sent to a replica
    Then the prompt of the first group is no longer recorded and that of the last is

  # A log that is filled by another reader's exchange must be the one that is returned.
  Scenario Outline: A reader finds what was read before, whatever the cache has evicted
    Given a daemon that <role>, with room for one log, has read 3 results of open job "j1"
    When a reader waits there for the next result, and the logs of 2 other jobs are read
    And <reader> reads "j1" from position 0
    Then it gets 3 results within <limit> ms
    And the reader that waits gets the next result once it is committed

    Examples:
      | role                  | reader         | limit |
      | follows a dispatcher  | another reader | 100   |
      | is the dispatcher     | another reader | 100   |
      | is the dispatcher     | another daemon | 1000  |

  # A position that was read at one daemon must not be empty at another one.
  Scenario: Another daemon gets what is stored, not only what the dispatcher has read
    Given a dispatcher that has read 2 results of open job "j1", of which 3 are stored
    When another daemon reads "j1" from position 0 there
    Then it gets 3 results within 1000 ms

  Scenario: The logs that many readers use stay within the cache and one for each reader
    Given 12 ended jobs, of which a daemon's cache holds 2
    When 13 clients read one of them each, over and over, at that daemon
    Then each read gets all results, and 4 logs are held at most while 2 are being read
