//! Serializes loads as one flat list of numbers.
//!
//! Loads are most of the traffic between routers. In a list of lists, brackets were a fifth of the bytes. Endpoint
//! numbers ascend; each is written as the difference from the previous one, which is usually 1.

use serde::de::{self, Deserializer, SeqAccess, Visitor};
use serde::ser::{SerializeSeq, Serializer};
use std::fmt;

/// Endpoint number, running requests, waiting requests, prefill in thousands of tokens.
pub(crate) type Load = (u32, u32, u32, u32);

pub(crate) fn serialize<S: Serializer>(loads: &[Load], to: S) -> Result<S::Ok, S::Error> {
    let mut list = to.serialize_seq(Some(loads.len() * 4))?;
    let mut previous = 0;
    for (number, running, waiting, prefill) in loads {
        list.serialize_element(&number.wrapping_sub(previous))?;
        list.serialize_element(running)?;
        list.serialize_element(waiting)?;
        list.serialize_element(prefill)?;
        previous = *number;
    }
    list.end()
}

pub(crate) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<Load>, D::Error> {
    from.deserialize_seq(LoadsVisitor)
}

struct LoadsVisitor;

impl<'de> Visitor<'de> for LoadsVisitor {
    type Value = Vec<Load>;

    fn expecting(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        to.write_str("four numbers for each load")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<Vec<Load>, A::Error> {
        let mut loads = Vec::new();
        let mut previous = 0_u32;
        while let Some(difference) = list.next_element::<u32>()? {
            let mut next = || {
                list.next_element()?
                    .ok_or_else(|| de::Error::invalid_length(loads.len() * 4, &self))
            };
            let number = previous.wrapping_add(difference);
            let load = (number, next()?, next()?, next()?);
            loads.push(load);
            previous = number;
        }
        Ok(loads)
    }
}
