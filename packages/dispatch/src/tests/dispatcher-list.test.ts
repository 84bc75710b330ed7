import { PlacementOutcome, type Suspicion } from '@hickoryspoke/protocol/generated/dispatch'
import { FakeClock } from '@hickoryspoke/testing/fake-clock'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { DispatcherList } from '../dispatcher-list.ts'
import { announcement, createDispatcher, question, recordingEntry } from './fixture.ts'

const UPSTREAMS = ['a', 'bb', 'ccc'].map((instance) => announcement({ instance, slots: 8 }))

test('a list is sent when the set of suspect upstreams changes, and at most once a second', () => {
  const clock = FakeClock.create()
  const news = DispatcherList.create(clock, ({ instance }: Suspicion) => instance)
  const suspect = (instance: string) => ({ instance, probability: 0.9 })
  assert.equal(news.nextUpdate(() => [suspect('a')]), [suspect('a')])
  assert.is(news.nextUpdate(() => [suspect('bb')]), undefined)
  clock.advance(1_000)
  assert.is(news.nextUpdate(() => [suspect('a')]), undefined)
  assert.equal(news.nextUpdate(() => []), [])
})

test('a new dispatcher avoids the upstreams that its predecessor suspected', () => {
  const first = createDispatcher(UPSTREAMS)
  const entry = recordingEntry('one')
  first.dispatcher.ask(entry, question(1))
  const failing = entry.answerTo(1)
  first.dispatcher.end(entry, { ticket: 1, outcome: PlacementOutcome.PLACEMENT_OUTCOME_BROKEN, milliseconds: 5, load: undefined, statedLimit: undefined, notice: undefined, instance: '' })
  const suspicions = first.dispatcher.suspicions()
  assert.equal(suspicions.map(({ instance }) => instance), [failing])

  const successor = createDispatcher(UPSTREAMS)
  successor.dispatcher.adoptSuspicions(suspicions, 0)
  for (let ticket = 2; ticket <= 10; ticket += 1) {
    successor.dispatcher.ask(entry, question(ticket))
    assert.is.not(entry.answerTo(ticket), failing)
  }
})

test.run()
