import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { isOlder, newerOf, type HeldNumber } from '../held-number.ts'

for (const [left, right, expected] of [
  [undefined, undefined, false],
  [undefined, 0, true],
  [0, undefined, false],
  [0, 0, false],
  [0, 1, true],
  [1, 0, false]
] as readonly [HeldNumber, HeldNumber, boolean][]) {
  test(`${left ?? 'none'} is ${expected ? '' : 'not '}older than ${right ?? 'none'}`, () => {
    assert.is(isOlder(left, right), expected)
    assert.is(newerOf(left, right), expected ? right : left)
  })
}

test.run()
