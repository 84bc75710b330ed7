import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { ClientSession } from '../client-session.ts'
import { RelayDirectory } from '../relay-directory.ts'

const session = (relay: string, isRelaying = true): ClientSession => ({ relay, isRelaying }) as unknown as ClientSession

test('an entry is told of others that relay, not of itself, of those that are cut off, or of clients without a relay', () => {
  const own = session('own')
  const directory = RelayDirectory.create(() => [own, session('one'), session('cut off', false), session(''), session('two')])
  const relays = directory.relaysFor(own, directory.available()).map(({ relay }) => relay)
  assert.equal(new Set(relays), new Set(['one', 'two']))
})

test('entries share the relays in turn, and each gets a few', () => {
  const sessions = Array.from({ length: 12 }, (_, index) => session(`entry-${index}`))
  const directory = RelayDirectory.create(() => sessions)
  const named = sessions.flatMap((each) => directory.relaysFor(each, directory.available()).map(({ relay }) => relay))
  assert.is(named.length, 36)
  assert.is(new Set(named).size, 12)
})

test('without a relay, none is named', () => {
  const directory = RelayDirectory.create(() => [])
  assert.equal(directory.relaysFor(session('own'), directory.available()), [])
})

test.run()
