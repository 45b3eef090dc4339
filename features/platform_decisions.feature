Feature: Platform decision functions, without a network

  Scenario Outline: The next step after an attempt at a replica
    When an attempt ends as <result>, repeatable <repeat>, run before <before>, runs <runs> of <most>, other replica <other>
    Then the next step is <step>

    Examples:
      | result   | repeat | before | runs | most | other | step    |
      | answered | no     | no     | 1    | 1    | no    | deliver |
      | unknown  | yes    | no     | 1    | 2    | yes   | retry   |
      | unknown  | yes    | no     | 2    | 2    | yes   | fail    |
      | unknown  | no     | no     | 1    | 2    | yes   | fail    |
      | not_run  | no     | no     | 0    | 2    | yes   | retry   |
      | not_run  | no     | no     | 0    | 2    | no    | refuse  |
      | not_sent | no     | no     | 0    | 2    | yes   | retry   |
      | not_run  | yes    | yes    | 1    | 2    | no    | fail    |
      | not_run  | no     | yes    | 1    | 2    | yes   | fail    |

  Scenario Outline: Groups that satisfy a trainer
    When groups <groups> are incomplete and the trainer waits for <target>
    Then the needed groups are <needed>

    Examples:
      | groups                | target | needed  |
      | a:5,9 b:3 c:40        | 2      | a,b     |
      | a:5,9 b:3 c!:40       | 2      | b,c     |
      | a:5 b:3               | 0      | a,b     |
      | a!:50 b!:60 c:1 d:2   | 3      | a,b,c   |

  Scenario Outline: Expected remaining events of an item
    When an item with hint <hint> and at most <most> tokens has <made> events of 50 tokens
    Then its expected remaining events are <left>

    Examples:
      | hint | most | made | left |
      | 1000 | 9000 | 0    | 20   |
      | 1000 | 9000 | 15   | 7    |
      | 1000 | 9000 | 20   | 10   |
      | 1000 | 9000 | 100  | 50   |
      | 1000 | 9000 | 170  | 10   |
      | 0    | 9000 | 10   | 170  |
      | 0    | 0    | 10   | 5    |
      | 10   | 9000 | 0    | 1    |

  Scenario Outline: Choosing a replica for an item
    When a replica among <replicas> is chosen for an item of 100 tokens
    Then the chosen replica is <chosen>

    Examples:
      | replicas                                   | chosen |
      | a:3/4 b:1/4 c:2/4                          | b      |
      | a:4/4 b:4/4                                | none   |
      | a:1/4:holds b:1/4                          | a      |
      | a:3/4:holds b:0/4                          | b      |
      | a:0/4:slow b:2/4 c:2/4                     | b      |
      | a:0/4:slow b:4/4 c:4/4                     | a      |
      | a:1/4:full b:3/4                           | b      |
      | a:1/4:long b:3/4                           | b      |
      | a:1/4:long b:4/4                           | a      |

  Scenario Outline: Replica memory that an item needs
    When an item with prompt <prompt> and hint <hint> has <made> events of 50 tokens, one every 50 ms
    Then it needs <soon> tokens within the horizon and <final> at its end

    Examples:
      | prompt | hint | made | soon | final |
      | 300    | 500  | 0    | 800  | 800   |
      | 300    | 5000 | 0    | 1350 | 5300  |
      | 300    | 5000 | 95   | 6100 | 7400  |
      | 300    | 5000 | 50   | 3850 | 5300  |

  Scenario: Long items do not wait behind short ones that fit
    Given a replica with 8 slots, memory for 6000 tokens and an event of 50 tokens every 50 ms
    When items of 4000,4000,300,300 tokens are placed, longest first
    Then items of 4000,4000,300,300 tokens run

  Scenario Outline: Runs that move off slow replicas
    When runs <runs> are on replicas with times per event <paces> and free slots <free>
    Then the moved runs are <moved>

    Examples:
      | runs             | paces             | free    | moved |
      | x@a:100 y@b:100  | a:160 b:40 c:40   | b:1 c:0 | x     |
      | x@a:100 y@a:50   | a:160 b:40 c:40   | b:1 c:0 | x     |
      | x@a:100 y@a:50   | a:160 b:40 c:40   | b:0 c:0 | none  |
      | x@a:2            | a:160 b:40 c:40   | b:4 c:4 | none  |
      | x@a:100          | a:60 b:40 c:40    | b:4 c:4 | none  |
      | x@a:100          | a:160 b:40        | b:4     | x     |

  Scenario Outline: Time for which a lease must stay unchanged before a takeover
    When a <state> lease with <quiet> s since the last order is seen, orders 3 s apart
    Then it may be acquired after <wait> s

    Examples:
      | state    | quiet | wait |
      | held     | 0     | 4.9  |
      | released | 0     | 3.3  |
      | released | 2     | 1.3  |
      | released | 60    | 0    |

  Scenario Outline: Engines that load a version next
    When engines <engines> are to load version 3 and <room> more loads may start
    Then the loads start on <chosen>

    Examples:
      | engines                               | room | chosen |
      | a:2/5 b:2/1 c:2/9 d:2/3 e:2/7         | 2    | b,d    |
      | a:2/5 b:3/1 c:2/9:loading d:3/3 e:3/7 | 1    | a      |
      | a:2/5:waiting b:3/1                   | 1    | none   |
      | a:2/5                                 | 1    | a      |
      | a:2/5                                 | 0    | none   |
      | a:1/9 b:2/0                           | 1    | a      |

  Scenario Outline: Assignment of engines to models
    When <count> engines serve models with demands <demands>
    Then the models have <homes> engines, shared between models <shared>

    Examples:
      | count | demands     | homes     | shared |
      | 5     | a:10        | a:5       | no     |
      | 22    | a:1 b:1     | a:11 b:11 | no     |
      | 22    | a:0 b:0     | a:11 b:11 | no     |
      | 22    | a:3 b:1     | a:16 b:6  | no     |
      | 22    | a:1 b:0     | a:20 b:2  | no     |
      | 3     | a:1 b:1     | a:3 b:3   | yes    |

  Scenario Outline: Silence of the claim holder before a takeover
    When the daemon of rank <rank> sees a claim in state <state>
    Then it takes over after <wait> s

    Examples:
      | rank | state  | wait |
      | 0    | held   | 0.75 |
      | 2    | held   | 1.55 |
      | 0    | vacant | 0    |
      | 2    | vacant | 0.3  |
      | 0    | unset  | 0.6  |
      | 2    | unset  | 0.9  |

  Scenario Outline: Parsing events from a byte stream
    When the bytes <bytes> arrive in parts of <size>
    Then the events are <events> and a partial event remains <partial>

    Examples:
      | bytes                                  | size | events    | partial |
      | id: 1\ndata: a\n\nid: 2\ndata: b\n\n   | 100  | 1=a 2=b   | no      |
      | id: 1\ndata: a\n\nid: 2\nda            | 3    | 1=a       | yes     |
      | id: 1\ndata: a\ndata: b\n\n            | 1    | 1=a\nb    | no      |

  Scenario Outline: Responses on one connection
    When a server responds to request "r1" with <bytes> and then <end>
    Then the exchange returns <result> and the connection is reusable <kept>

    Examples:
      | bytes                                                              | end    | result | kept |
      | 200 id=r1 length=2 ok                                              | stays  | 200 ok | yes  |
      | 200 id=r1 length=2 okEXTRA                                         | stays  | 200 ok | no   |
      | 200 id=r1 length=9 ok                                              | closes | broken | no   |
      | 200 id=r1 none ok                                                  | closes | 200 ok | no   |
      | 200 id=r1 none ok                                                  | resets | broken | no   |
      | 200 id=r0 length=3 old + 200 id=r1 length=2 ok                     | stays  | 200 ok | no   |
      | garbage                                                            | stays  | broken | no   |

  Scenario Outline: Jobs past their retention time
    When an <state> job is <age> s old and results are kept for 120 s
    Then the job is <verdict>

    Examples:
      | age | state | verdict |
      | 60  | ended | kept    |
      | 230 | ended | kept    |
      | 250 | ended | removed |
      | 999 | open  | kept    |

  Scenario: Removing a job deletes all its objects
    Given a store with an ended job of 2 result segments and 1 object of items
    When the job is removed
    Then the store is empty

  Scenario Outline: Progress included in a checkpoint
    When items with events <events> of 10 bytes are selected for a checkpoint of <limit> bytes
    Then the checkpoint contains <kept>

    Examples:
      | events       | limit | kept  |
      | a:5 b:30     | 1000  | b     |
      | a:40 b:30    | 1000  | a,b   |
      | a:40 b:30    | 500   | a     |
      | a:40 b:30    | 100   | none  |
      | a:1 b:11     | 1000  | none  |

  Scenario Outline: Long items of many jobs are spread over the parts of a checkpoint
    Given items were last written to parts <former>
    When items with events <events> of 10 bytes are divided into 3 parts of <limit> bytes
    Then the parts contain <parts>

    Examples:
      | former  | events              | limit | parts     |
      | none    | a:40 b:30 c:20      | 1000  | abc       |
      | none    | a:40 b:30 c:20      | 500   | a bc      |
      | none    | a:40 b:30 c:20      | 600   | ac b      |
      | b:2     | a:40 b:30 c:20      | 1000  | ac - b    |
      | none    | a:90 b:40 c:30 d:20 | 500   | b cd      |
      | none    | a:40 b:40 c:40 d:40 | 500   | a b c     |

  Scenario Outline: Another daemon's progress is continued if the job allows its versions
    When progress of <events> events of versions <versions> is offered to an item with <own> events, minimum version <oldest>, single version <single>
    Then the item continues from <result> events

    Examples:
      | events | versions | own | oldest | single | result |
      | 9      | 3        | 2   | 2      | no     | 9      |
      | 9      | 3        | 12  | 2      | no     | 12     |
      | 9      | 1,2      | 2   | 2      | no     | 2      |
      | 9      | 2,3      | 2   | 2      | no     | 9      |
      | 9      | 2,3      | 2   | 2      | yes    | 2      |
      | 9      | 3        | 2   | 2      | yes    | 9      |

  Scenario Outline: Replicas keep their models, as each change costs a load
    When <count> engines serve models with demands <demands>
    And then <later> engines serve models with demands <changed>
    Then at most <moved> engines have changed their model

    Examples:
      | count | demands         | later | changed         | moved |
      | 22    | a:4 b:4 c:4 d:4 | 45    | a:4 b:4 c:4 d:4 | 0     |
      | 45    | a:4 b:4 c:4 d:4 | 22    | a:4 b:4 c:4 d:4 | 5     |
      | 22    | a:4 b:4 c:4 d:4 | 22    | a:5 b:4 c:4 d:4 | 2     |
      | 22    | a:4 b:4 c:4 d:4 | 21    | a:4 b:4 c:4 d:4 | 1     |
