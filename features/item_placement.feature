Feature: Items go where they are expected to end first

  # Guards against a choice that ends items later than the choice by load did: long items
  # that fill slow replicas, and prompts that draw items to full ones.
  Scenario Outline: Items on replicas of speeds 0.55 to 1.2, one of which turns slow
    When <count> <kind> items run on 6 replicas whose full batch is slower by <slowdown>
    Then their mean and their last end are not later than with the choice by load

    Examples:
      | count | kind  | slowdown |
      | 12    | short | 0.0      |
      | 60    | short | 0.5      |
      | 12    | long  | 0.5      |
      | 40    | mixed | 0.0      |
      | 40    | mixed | 0.5      |

  # Guards against a fixed preference for replicas that keep the prompt, which outweighed
  # a faster replica, and against a way to another zone that costs nothing or too much.
  Scenario Outline: Expected end of an item at a replica
    When an item with <left> events left and a prompt of <prompt> tokens may go to <replicas>
    Then the item goes to <chosen>

    Examples:
      | left | prompt | replicas                    | chosen |
      | 100  | 1000   | a:0/8:90 b:4/8:42           | b      |
      | 2    | 1000   | a:0/8:50 b:7/8:45           | a      |
      | 20   | 1000   | a:1/8:50:kept b:1/8:50      | a      |
      | 20   | 1000   | a:1/8:50:kept b:1/8:45      | b      |
      | 1    | 9000   | a:1/8:50:kept b:1/8:45      | a      |
      | 20   | 1000   | a:1/8:50:far b:1/8:50       | b      |
      | 20   | 1000   | a:1/8:50:far b:2/8:50       | a      |
      | 20   | 1000   | a:0/8:50:far b:8/8:50       | a      |

  # Guards against moves that give the fast slots to items that would end soon anyway.
  Scenario Outline: Items that would end last move first, to the fastest slots
    When items <runs> run at times per event <paces> beside free slots <free>
    Then the items <moved> move

    Examples:
      | runs                 | paces             | free    | moved |
      | x@a:60 y@b:100       | a:150 b:100 c:50  | c:1     | y     |
      | x@a:100 y@b:60       | a:91 b:91 c:42    | c:2     | x,y   |
      | x@a:100 y@b:60       | a:91 b:91 c:55    | c:2     | none  |
      | x@a:100 y@a:90       | a:150 b:40 c:100  | b:1 c:1 | x     |

  # Guards against runs that wait 1.5 s at a replica that hangs, and against moves off
  # replicas that are only slow, load weights, or seem silent since this daemon was late.
  Scenario Outline: A replica whose runs are all silent is noticed by the usual pace
    When runs of a replica are silent for <silence> ms at a usual pace of <pace> ms, <case>
    Then the replica counts as silent: <found>

    Examples:
      | silence | pace | case                                | found |
      | 400     | 50   | without another cause               | no    |
      | 600     | 50   | without another cause               | yes   |
      | 600     | 100  | without another cause               | no    |
      | 1100    | 100  | without another cause               | yes   |
      | 600     | 50   | while it loads weights              | no    |
      | 600     | 50   | while one run still gets events     | no    |
      | 600     | 50   | while this daemon was held up       | no    |
      | 600     | 50   | at 250 ms an event of its own       | no    |
      | 1500    | 50   | 1 s after its runs have moved away  | yes   |
      | 3500    | 50   | 3 s after its runs have moved away  | no    |
