/* Model of the claim protocol (packages/core/claim.c): senders with the same key
 * compete for its row in a store that loses answers and applies writes late.  A
 * sender may crash at any step.
 *
 * Checked: the key runs at most once; a caller gets "not run" only if it never
 * ran; a sender runs it only while the row is open and held by that sender. */

#define SENDERS 3
#define MAX_TRIES 2
#define NO_HOLDER 255

mtype = { absent, open, released, done, lost };

mtype state = absent;
byte holder = NO_HOLDER;
byte version = 0;
byte runs = 0;

/* Writes (state, holder) if the version is `expected`. */
inline conditional_write (expected, new_state, who, ok)
{
  atomic
  {
    if
    :: version == expected ->
       state = new_state;
       holder = who;
       version++;
       ok = true
    :: else ->
       ok = false
    fi
  }
}

/* A write that the sender gave up on and that takes effect at any later time. */
proctype late_write (byte expected; byte who)
{
  bool ok;

  conditional_write (expected, open, who, ok)
}

/* Releases the row after a write whose result is unknown. */
proctype release_row (byte expected; byte who)
{
  bool ok;
  byte tries = 0;

  do
  :: tries == 3 -> break
  :: tries < 3 ->
     tries++;
     conditional_write (expected, released, who, ok);
     if
     :: ok -> break
     :: else ->
        atomic
        {
          if
          :: state == open && holder == who -> expected = version
          :: else -> break
          fi
        }
     fi
  od
}

proctype sender (byte me)
{
  byte expected = 0;
  byte tries = 0;
  bool write_sent = false;
  bool ok;

try_claim:
  if
  :: tries == MAX_TRIES -> goto give_up
  :: tries < MAX_TRIES -> tries++
  fi;
  write_sent = true;
  if
  :: true -> conditional_write (expected, open, me, ok)
  :: run late_write (expected, me); goto try_claim  /* no answer, takes effect later */
  :: true -> conditional_write (expected, open, me, ok); goto try_claim /* takes effect, answer lost */
  :: goto dead
  fi;
  /* On a conflict the store returns the current row. */
  atomic
  {
    if
    :: ok -> expected = version; goto claimed
    :: (!ok && state == open && holder == me) ->
       expected = version;
       goto claimed
    :: (!ok && (state == released || state == absent)) ->
       expected = version;
       goto try_claim
    :: (!ok && state != released && state != absent && (state != open || holder != me)) ->
       goto finished /* in progress, answer stored, or lost */
    fi
  }

claimed:
  if
  :: skip          /* a slot was found */
  :: goto refuse   /* no slot: it never runs */
  :: goto dead
  fi;
  assert (state == open && holder == me);
  runs++;
  assert (runs == 1);
  if
  :: true -> conditional_write (expected, done, me, ok)
  :: true -> conditional_write (expected, lost, me, ok)
  :: goto dead
  fi;
  goto finished;

refuse:
  assert (runs == 0); /* the caller gets "not run" */
  run release_row (expected, me);
  goto finished;

give_up:
  if
  :: write_sent -> run release_row (expected, me)
  :: else -> skip
  fi;

dead:
finished:
  skip
}

init
{
  byte i;

  atomic
  {
    for (i : 0 .. SENDERS - 1)
    {
      run sender (i)
    }
  }
}
