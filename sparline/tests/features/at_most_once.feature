Feature: What a caller is told when something breaks on the way
  A request that may not be repeated is begun at most once. Whatever is called not run
  was not run. A stream gives each token once and says how it ended.

  Scenario Outline: A fault at the engine of the caller's own zone
    Given a request that <may> be repeated
    When the engine shows the fault <fault> once
    Then the caller is told <outcome>
    And it was begun <begun> times
    And what the caller was told is true

    Examples:
      | may     | fault                      | outcome  | begun |
      | may     | none                       | complete | 1     |
      | may not | none                       | complete | 1     |
      | may     | refuses                    | complete | 1     |
      | may not | refuses                    | complete | 1     |
      | may     | closes unread              | complete | 1     |
      | may not | closes unread              | unknown  | 0     |
      | may     | closes after the run       | complete | 2     |
      | may not | closes after the run       | unknown  | 1     |
      | may     | cuts the stream            | complete | 2     |
      | may not | cuts the stream            | unknown  | 1     |
      | may     | answers late               | complete | 1     |
      | may not | answers late               | complete | 1     |
      | may     | refuses connections        | complete | 1     |
      | may not | refuses connections        | complete | 1     |

  Scenario Outline: A fault while the request runs in another region
    Given a request that <may> be repeated
    And the engines at home take no work
    When the engine in the other region shows the fault <fault> once
    Then the caller is told <outcome>
    And it was begun <begun> times
    And what the caller was told is true

    Examples:
      | may     | fault                      | outcome  | begun |
      | may     | none                       | complete | 1     |
      | may not | none                       | complete | 1     |
      | may     | cuts the stream            | complete | 2     |
      | may not | cuts the stream            | unknown  | 1     |
      | may     | closes after the run       | complete | 2     |
      | may not | closes after the run       | unknown  | 1     |
      | may not | closes unread              | unknown  | 0     |

  Scenario Outline: The deadline passes
    Given a request that <may> be repeated
    When the engine <holds> beyond the deadline
    Then the caller is told <outcome>
    And what the caller was told is true

    Examples:
      | may     | holds                      | outcome  |
      | may     | keeps it waiting unstarted | not_run  |
      | may not | keeps it waiting unstarted | not_run  |
      | may     | freezes                    | unknown  |
      | may not | freezes                    | unknown  |
