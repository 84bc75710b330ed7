import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { rendezvousOrder, sha256Digest } from '../hashing.ts'

test('sha256Digest returns the prefixed SHA-256 of the text', () => {
  assert.is(sha256Digest(''), 'sha256:e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855')
})

test('removing a member keeps the order of the other members', () => {
  const members = ['a', 'b', 'c', 'd', 'e']
  for (let subject = 0; subject < 200; subject += 1) {
    const before = rendezvousOrder(`customer-${subject}`, members)
    const after = rendezvousOrder(`customer-${subject}`, members.filter((member) => member !== 'c'))
    assert.equal(after, before.filter((member) => member !== 'c'))
  }
})

test.run()
