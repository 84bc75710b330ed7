import { FakeClock, flushPromises } from '@hickoryspoke/testing/fake-clock'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { NewsDelivery } from '../news-delivery.ts'

const LIMIT_MILLISECONDS = 2_000

function createDelivery (hasPredecessor = false) {
  const clock = FakeClock.create()
  const presumed: Array<{ readonly revision: number, readonly entries: number }> = []
  const news = NewsDelivery.create(clock, LIMIT_MILLISECONDS, hasPredecessor, (revision, entries) => presumed.push({ revision, entries }))
  const advance = (milliseconds: number): void => {
    clock.advance(milliseconds)
    news.check()
  }
  return { news, advance, presumed }
}

/** Records what a promise resolved with; undefined while it is pending. */
function follow (known: Promise<boolean>): { result: boolean | undefined } {
  const followed: { result: boolean | undefined } = { result: undefined }
  void known.then((result) => { followed.result = result })
  return followed
}

test('news is known once every attached entry has confirmed it', async () => {
  const { news } = createDelivery()
  news.attach('one')
  news.attach('two')
  const known = follow(news.whenKnown(news.add()))
  news.confirmNews('one', 1)
  await flushPromises()
  assert.is(known.result, undefined)
  news.confirmNews('two', 1)
  await flushPromises()
  assert.is(known.result, true)
})

test('an entry that confirmed older news only is still waited for', async () => {
  const { news } = createDelivery()
  news.attach('one')
  news.add()
  const known = follow(news.whenKnown(news.add()))
  news.confirmNews('one', 1)
  await flushPromises()
  assert.is(known.result, undefined)
})

test('an entry that no longer confirms its view is waited for until the view expires', async () => {
  const { news, advance } = createDelivery()
  news.attach('silent')
  advance(1_500)
  const known = follow(news.whenKnown(news.add()))
  advance(400)
  await flushPromises()
  assert.is(known.result, undefined)
  advance(100)
  await flushPromises()
  assert.is(known.result, true)
})

test('an entry that goes on confirming its view is waited for until the view of before the news expires', async () => {
  const { news, advance } = createDelivery()
  news.attach('slow')
  const known = follow(news.whenKnown(news.add()))
  for (let round = 0; round < 19; round += 1) {
    news.confirmView('slow')
    advance(100)
  }
  await flushPromises()
  assert.is(known.result, undefined)
  advance(100)
  await flushPromises()
  assert.is(known.result, true)
})

test('an entry that stopped is not waited for', async () => {
  const { news } = createDelivery()
  news.attach('one')
  const known = follow(news.whenKnown(news.add()))
  news.forget('one')
  await flushPromises()
  assert.is(known.result, true)
})

// Guards against acknowledgements by a new leader that the entries of the previous leader have not found yet (CONFIG, DRAIN).
test('after a change of leader, nothing is known before the views from the previous leader have expired', async () => {
  const { news, advance } = createDelivery(true)
  const known = follow(news.whenKnown(news.add()))
  advance(1_900)
  await flushPromises()
  assert.is(known.result, undefined)
  advance(100)
  await flushPromises()
  assert.is(known.result, true)
})

test('news is not known when the leadership ends first', async () => {
  const { news } = createDelivery()
  news.attach('one')
  const known = follow(news.whenKnown(news.add()))
  news.close()
  await flushPromises()
  assert.is(known.result, false)
})

test('it is told of which news some entries were presumed to have dropped their view, and not of other news', async () => {
  const { news, advance, presumed } = createDelivery()
  for (const entry of ['one', 'two', 'silent']) news.attach(entry)
  const known = follow(news.whenKnown(news.add()))
  for (const entry of ['one', 'two']) news.confirmNews(entry, 1)
  assert.equal(presumed, [])
  advance(LIMIT_MILLISECONDS)
  await flushPromises()
  assert.is(known.result, true)
  assert.equal(presumed, [{ revision: 1, entries: 1 }])
  news.confirmNews('silent', 1)
  follow(news.whenKnown(1))
  assert.is(presumed.length, 1)
})

test.run()
